// Package gates tests what gates promise for model requests: bounded work on a newly
// started target over all gates, no new work on drained or leaving targets, the
// complete own answer for each caller, truthful refusals, and no request interrupted by
// a graceful shutdown. A world of real proxies, permits and fake engines runs over an
// in-memory network in virtual time.
package gates
