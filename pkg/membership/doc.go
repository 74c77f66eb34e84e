// Package membership decides when a gate may take new work and how far the
// published view is in force.
//
// A gate holds a Lease, counted from the moment before it sent the request
// that renewed it. The leader keeps a Table of the leases that gates may hold,
// counted from the moment that it granted them plus a margin for the rates of
// the two clocks. Since a grant comes after the request was sent, a lease that
// the Table counts as lapsed has lapsed at the gate.
//
// The barrier is the lowest revision among gates whose leases may be alive.
// What a revision up to the barrier took away is in force wherever new work
// can be taken.
package membership
