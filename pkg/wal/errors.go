package wal

import (
	"fmt"

	"github.com/rotisserie/eris"
)

var (
	// ErrFailed says that an earlier write or sync failed; the process must
	// end.
	ErrFailed = eris.New("log failed; what is on disk is unknown until a restart")
	// ErrNoStore says that the folder is empty and may not be set up.
	ErrNoStore = eris.New("folder holds no store; if its disk was lost, remove this replica and add one with a new ID")
	// ErrWrongStore says that the folder belongs to another replica or cluster.
	ErrWrongStore = eris.New("folder belongs to another replica or cluster")
)

// CorruptionError says which file can't be read and where.
type CorruptionError struct {
	File   string
	Offset int64 // bytes from the start of the file
	Cause  string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: offset %d: %s; don't edit the file: remove this replica from the cluster, "+
		"then add one with a new ID and an empty folder", e.File, e.Offset, e.Cause)
}
