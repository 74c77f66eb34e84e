// Package gates proves what gates promise for model requests: bounded work on
// a just-started target over all gates, nothing new on what is drained or
// leaves, each caller its own whole answer, true refusals, and no request cut
// off by a graceful shutdown. A world of real proxies, permits and engine
// stand-ins runs over an in-memory network in virtual time.
package gates
