// Package formation decides which hosts serve which model. It forms groups of hosts, dissolves
// broken ones, stages model weights on hosts in advance, and divides the hosts between the models
// according to their load. It is designed for steady load while a host fails every few seconds, and
// for the loss of whole failure domains.
//
// The planner is a state machine for use by one goroutine. Observations are passed to ObserveHost,
// OrderCompleted and MarkDead; Tick returns the orders that are due. It uses no sockets and reads no
// clock.
//
// Invariants:
//   - A group's open order is given only after each member reported ready under the group's name
//     and epoch.
//   - A host gets a join only while its newest announcement shows no other group, or after it
//     confirmed that it left. If an earlier join may still be carried out late, the host itself must
//     refuse the new one unless it is free (Order.OnlyIfFree).
//   - An epoch is never used for two groups.
package formation
