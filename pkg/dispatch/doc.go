// Package dispatch decides which orders to engines are sent through which gate.
// At most one order per host is in transit: an order with a different fencing
// number waits until the first one was answered or can no longer arrive.
package dispatch
