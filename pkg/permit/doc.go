// Package permit divides the bound on requests in flight of each target among the
// gates, so that all gates together never exceed it.
//
// Allocator runs in the replicated log, Local in a gate. The contract between
// them:
//
//   - A gate's exposure is the most work that it may have in flight on a
//     target: its permits, or more while a lowering is not settled. The
//     allocator raises permits only while the sum of all exposures and
//     orphans stays within the bound.
//   - A lowering is published at once. It is settled, and the difference is
//     available to other gates, when the gate reports its work in flight at a
//     view revision that includes the lowering: from then on its work can only
//     shrink to the lowered permits.
//   - When a gate's lease has expired (GateGone), its exposure becomes an
//     orphan. The gate sends no new requests, but those that it sent may still
//     run. An orphan ends when the gate itself reports again, when the target's
//     own count of running work, taken after the expiry, is lower, when the
//     target has another incarnation, or after Options.MaxRequestTime.
//   - GateSeen must be applied before a gate incarnation is sent its first
//     view, so that it never uses the permits of the previous process.
//
// The bound starts at the target's cold bound and doubles up to its maximum. Each
// doubling needs its part of the ramp time and as many successful requests as the
// bound has permits. A suspected target is reset to its cold bound.
package permit
