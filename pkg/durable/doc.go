// Package durable is the replicated state of a deployment whose objects come
// from outside as one document with a version: the document in force as it was
// sent, the evacuated failure domains, and the upstreams that have signed off.
// Commands are applied in log order by package replica.
package durable
