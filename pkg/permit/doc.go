// Package permit divides the bound of work in flight on each target among the
// gates, so that over all gates together the bound is never exceeded.
//
// Allocator runs inside the replicated log and Local inside a gate. The
// contract between them:
//
//   - A gate's exposure is the most work that it may have in flight on a
//     target: its permits, or more while a lowering is not yet settled. The
//     allocator raises permits only while the sum of all exposures and
//     orphans stays within the bound.
//   - A lowering is published at once. It is settled, and the difference free
//     for others, when the gate reports its work in flight at a view revision
//     that holds the lowering: from then on its work can only shrink to the
//     lowered permits.
//   - When a gate's lease has lapsed (GateGone) its exposure becomes an orphan
//     part. It takes no new work, but what it sent may still run. An orphan
//     part ends when the gate itself reports again, when the target's own
//     count of running work, taken after the lapse, proves it smaller, when
//     the target has another incarnation, or after Options.MaxRequestTime.
//   - GateSeen must be applied before a gate incarnation is sent its first
//     view, so that it never finds the permits of the process before it.
//
// The bound starts at the target's cold bound and doubles up to its maximum.
// Each doubling needs its part of the ramp time and as many well finished
// requests as the bound had permits. A suspected target falls back to cold.
package permit
