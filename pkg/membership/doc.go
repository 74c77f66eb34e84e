// Package membership decides when a gate may accept new work, and up to which
// revision the published view is in force on all gates.
//
// A gate holds a Lease that runs from the moment before it sent the renewal
// request. The leader keeps a Table of the leases that gates may hold. There a
// lease runs from the moment of the grant, extended by a margin for the different
// rates of the two clocks. Since the grant follows the request, a lease that has
// expired in the Table has also expired at the gate.
//
// The barrier is the lowest revision in force among gates whose leases may still
// be valid. Whatever a revision up to the barrier removed is no longer used by
// any gate that can accept new work.
package membership
