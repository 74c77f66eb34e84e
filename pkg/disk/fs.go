package disk

import "io"

// FS is a file system. Errors for missing files match fs.ErrNotExist.
type FS interface {
	MkdirAll(dir string) error
	// Create creates a file for writing, or truncates an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	// Truncate truncates a file to a size in bytes and syncs it.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of the files in a directory, sorted.
	List(dir string) ([]string, error)
	SyncDir(dir string) error
	// Lock takes an exclusive lock on a file, held until the result is closed. It returns ErrLocked
	// if the lock is taken.
	Lock(name string) (io.Closer, error)
}

// File is an open file.
type File interface {
	io.Writer
	Sync() error
	Close() error
}
