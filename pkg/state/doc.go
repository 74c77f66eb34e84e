// Package state is the replicated state of the system. It composes the state
// machines for objects, groups, permits, once-only records and suspects, passes
// each command to those that it concerns, and publishes their changes as the next
// revision of the view.
//
// Apply is deterministic: time comes with the command, maps are iterated in sorted
// order, and no command fails for a reason local to one replica.
package state
