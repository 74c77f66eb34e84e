package entry

import "time"

// otherHostRetryAfter is when a client that this entry host refuses because it stops should come back: its
// next connection leads to another one.
const otherHostRetryAfter = 50 * time.Millisecond

// RefuseLateRequests refuses requests from now on that may last for longer than left. Before, clients have
// no other entry host yet.
func (g *Gateway) RefuseLateRequests(left time.Duration) { g.requestsEnd.Store(int64(g.now() + left)) }

// mayOutlastStop reports whether the request might be cut by the end of the process.
func (c *call) mayOutlastStop() bool {
	end := time.Duration(c.gateway.requestsEnd.Load())
	return end != 0 && c.deadline > end
}
