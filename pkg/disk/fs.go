package disk

import "io"

// FS is a file system. Missing files give errors that match fs.ErrNotExist.
type FS interface {
	MkdirAll(dir string) error
	// Create opens a new or emptied file.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	// Truncate cuts a file to a size in bytes and syncs it.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of the files in a folder, sorted.
	List(dir string) ([]string, error)
	SyncDir(dir string) error
	// Lock takes a file exclusively until it is closed. It returns ErrLocked
	// when another holder has it.
	Lock(name string) (io.Closer, error)
}

// File is an open file.
type File interface {
	io.Writer
	Sync() error
	Close() error
}
