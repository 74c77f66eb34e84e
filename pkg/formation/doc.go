// Package formation decides which hosts serve which model: it forms groups of
// hosts, takes apart those that broke, keeps spare hosts staged, and divides
// the hosts between the models by the load they carry. It answers steady load
// with hosts that die every few seconds, and failure domains that go dark.
//
// The planner is one state machine for one goroutine. What is seen goes in by
// Observe, Ended and Dead; orders come out of Tick. It has no sockets and
// reads no clock.
//
// Invariants:
//   - A group's open order is given only after each member reported ready
//     under the group's name and epoch.
//   - A host gets a join only while its newest report shows no other group, or
//     after it confirmed that it left.
//   - An epoch is never used for two groups.
package formation
