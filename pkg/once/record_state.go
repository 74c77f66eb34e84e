package once

// recordState is the state of a record.
type recordState uint8

// A record is first in progress, then in one of the other states. An unknown record
// may still become recorded or not run.
const (
	stateInProgress recordState = iota + 1
	stateRecorded
	stateUnknown
	stateNotRun
)
