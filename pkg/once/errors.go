package once

import "github.com/rotisserie/eris"

var (
	// ErrNotRecorded says that nothing entered the replicated log, nor will.
	ErrNotRecorded = eris.New("not recorded")
	// ErrRecordUnknown says that it may or may not have entered the
	// replicated log, or may do so later.
	ErrRecordUnknown = eris.New("unknown whether it was recorded")
	// ErrSnapshot says that a snapshot can't be read.
	ErrSnapshot = eris.New("snapshot of once-only records can't be read")
)
