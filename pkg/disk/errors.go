package disk

import "github.com/rotisserie/eris"

var (
	// ErrLocked means that another holder has the lock.
	ErrLocked = eris.New("locked by another process")
	// ErrCrashed is returned by every operation between an injected crash and the restart, and by
	// files opened before the restart.
	ErrCrashed = eris.New("file system crashed")
	// ErrSyncFailed is returned for an injected sync failure.
	ErrSyncFailed = eris.New("sync failed")
	// ErrFull is returned for an injected full disk.
	ErrFull = eris.New("no space left on device")
)
