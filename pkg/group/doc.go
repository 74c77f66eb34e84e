// Package group decides the life of model groups: where they stand, which
// host has which role, when a group takes work, how a broken one is repaired,
// which loads run first and how versions roll out.
//
// Machine is a replicated state machine. Step takes one event of the log and
// returns the changes of the view; it is deterministic and has no clock,
// sockets or goroutines.
//
// The contract with the driver:
//
//   - Orders is level-triggered and is delivered by the leader alone, under a
//     confirmed lease, each order with a deadline. Options.OrderQuiet is not
//     below the time from a change of the state to the last arrival of an
//     order that was computed before it.
//   - BarrierPassed{R} says that no gate which may take work has a view below
//     R in force.
//   - Reports of one host arrive in the order in which they were made.
//     A status is proposed whenever NeedsReport says so: a host that was lost
//     counts as not reported until it reports again.
//   - An engine that takes an order for the version and rank that it has
//     loaded keeps its weights, also when group and fence differ.
//
// Invariants:
//
//   - A group is published as serving only while the last report of each
//     member is of the member's incarnation and matches group, epoch, version,
//     adapters and rank.
//   - A host has at most one role. It gets another one only after the barrier
//     passed the revision at which its group stopped taking work.
//   - An engine that ignores fencing numbers gets an order for another role
//     only after OrderQuiet without any order to it.
package group
