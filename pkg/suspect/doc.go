// Package suspect finds the requests that crash upstreams. Its Machine is replicated: it takes the
// gates' reports of what ran on a crashed upstream and publishes quarantines. Its Guard belongs to
// a gate: it tracks which requests run on which upstream and applies the quarantines of the view
// in force.
//
// All requests that ran on a crashed upstream become suspects. One gate at a time, the trial gate,
// runs suspects. Each one runs as the only suspect on its upstream and at most once at a time. A
// crash during such a trial convicts the request; a trial that completes clears it. A request that
// crashes upstreams therefore costs the upstreams that ran a copy of it when its first crash was
// published, and one more, no matter how many gates its caller tries.
//
// A crash outside a trial never convicts, because a whole failure domain may fail while the same
// innocent request runs in it. A conviction is withdrawn when other convicted requests explain all
// of its crashes.
package suspect
