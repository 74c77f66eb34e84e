package disk

import "github.com/rotisserie/eris"

var (
	// ErrLocked says that another process uses the folder.
	ErrLocked = eris.New("locked by another process")
	// ErrCrashed is what every operation gives after an injected crash.
	ErrCrashed = eris.New("file system crashed")
	// ErrSyncFailed is an injected failure of a sync.
	ErrSyncFailed = eris.New("sync failed")
	// ErrFull is an injected full disk.
	ErrFull = eris.New("no space left on device")
)
