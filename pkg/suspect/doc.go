// Package suspect finds the requests that crash upstreams. Its Machine is
// replicated: it takes gates' reports of what ran on a crashed upstream and
// publishes quarantines. Its Guard is the gate's side: it keeps what runs
// where, and follows the quarantines of the view in force.
//
// All that ran on a crashed upstream are suspects. One gate at a time, the
// trial gate, runs suspects, each alone among suspects on its upstream and
// each at most once at a time. A crash during a trial convicts; a trial that
// ends well acquits. So one bad request costs the upstreams that ran a copy
// of it when its first crash was published, and one more, whatever the number
// of gates that its caller tries.
//
// A crash outside a trial never convicts, for a whole failure domain may go
// dark under the same innocent request. A conviction is taken back when other
// convicted requests explain all of its crashes.
package suspect
