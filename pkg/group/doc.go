// Package group manages the life cycle of model groups: their placement, the role of each host,
// when a group takes work, the repair of broken groups, the order of loads and the rollout of
// versions.
//
// Machine is a replicated state machine. Step applies one event of the log and returns the changes
// of the view. It is deterministic and uses no clock, sockets or goroutines.
//
// Requirements on the driver:
//
//   - Orders is level-triggered. Only the leader delivers orders, under a
//     confirmed lease and each with a deadline. Options.MaxOrderDelay is at
//     least the time from a change of the state to the last possible arrival
//     of an order that was computed before the change.
//   - BarrierPassed{R} means that no gate which may take work has a view below
//     R in force.
//   - Reports of one host arrive in the order in which they were made. A status
//     is proposed whenever NeedsReport returns true: a host that was lost
//     counts as not reported until it reports again.
//   - An engine that receives an order for the version and rank that it has
//     loaded keeps its weights, even if group and fence differ.
//
// Invariants:
//
//   - A group is published as serving only while the last report of each
//     member is of the member's incarnation and matches group, epoch, version,
//     adapters and rank.
//   - A host has at most one role. It gets another one only after the barrier
//     has passed the revision at which its group stopped taking work.
//   - An engine that ignores fencing numbers gets an order for another role
//     only after MaxOrderDelay without any order to it.
package group
