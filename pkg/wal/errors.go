package wal

import (
	"fmt"

	"github.com/rotisserie/eris"
)

var (
	// ErrFailed means that a write or sync failed. The process must exit.
	ErrFailed = eris.New("write to the log failed; its content on disk is unknown until a restart")
	// ErrNoStore means that the directory is empty and may not be initialised.
	ErrNoStore = eris.New("directory holds no store; if its disk was lost, remove this replica and add one with a new ID")
	// ErrWrongStore means that the directory belongs to another replica or cluster.
	ErrWrongStore = eris.New("directory belongs to another replica or cluster")
)

// CorruptionError reports a corrupt file of the store.
type CorruptionError struct {
	File   string
	Offset int64 // bytes from the start of the file
	Cause  string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: offset %d: %s; don't edit the file: remove this replica from the cluster, "+
		"then add one with a new ID and an empty directory", e.File, e.Offset, e.Cause)
}
