// Package objects tests promise 10 for the object set and its state machine: an
// invalid set publishes nothing, one of two changes from the same base succeeds, a
// resent change takes effect once, and revisions never decrease.
package objects
