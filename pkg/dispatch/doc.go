// Package dispatch decides which orders to engines go out through which gate.
// At most one order is under way to a host: another one with a different
// fencing number waits until the first was answered or can no longer arrive.
package dispatch
