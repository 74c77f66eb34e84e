// Package order defines the wire format of POST /v1/order, which orders an engine to
// take or release a role in a group. An engine that checks fencing tokens answers 409
// to an order whose Fence is lower than the highest that it has seen.
package order
