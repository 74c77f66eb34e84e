// Package state is the replicated state of the system. It composes the
// machines for objects, groups, permits, once-only records and suspects, gives
// each command to those it concerns, and publishes what they change as the
// next revision of the view.
//
// Apply is deterministic: time comes with the command, maps are walked in
// order, and no command fails because of this replica's host.
package state
