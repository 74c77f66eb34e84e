package once

import "github.com/rotisserie/eris"

var (
	// ErrNotRecorded reports that nothing was added to the replicated log, nor will be.
	ErrNotRecorded = eris.New("not recorded in the replicated log")
	// ErrRecordUnknown reports that the command may or may not have been added to the replicated
	// log, or may be added later.
	ErrRecordUnknown = eris.New("unknown whether it was recorded in the replicated log")
	// ErrSnapshot reports that a snapshot could not be decoded.
	ErrSnapshot = eris.New("decode snapshot of once-only records")
)
