package once

// state is a step in the life of a record.
type state uint8

// The life of a record: in progress, then one of the others. An unknown record
// may still become recorded or not run.
const (
	stateInProgress state = iota + 1
	stateRecorded
	stateUnknown
	stateNotRun
)
