// Package order is the wire format of POST /v1/order on an engine: an order to
// take a role in a group, or to give it up. An engine that checks fencing
// answers 409 to an order whose Fence is lower than the highest it has seen.
package order
