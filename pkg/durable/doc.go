// Package durable is the replicated state of a deployment that gets its objects
// from outside as one versioned document. It holds the document in force exactly as
// it was sent, the evacuated failure domains, and the upstreams that drain or have
// deregistered. Package replica applies the commands in log order.
package durable
