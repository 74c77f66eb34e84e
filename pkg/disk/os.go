package disk

import (
	"errors"
	"io"
	"os"
	"syscall"

	"github.com/rotisserie/eris"
)

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// OS is the file system of the operating system.
type OS struct{}

var _ FS = OS{}

// MkdirAll implements FS.
func (OS) MkdirAll(dir string) error {
	return os.MkdirAll(dir, dirMode)
}

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append implements FS.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_APPEND|os.O_WRONLY, fileMode)
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(name)
}

// Truncate implements FS.
func (OS) Truncate(name string, size int64) error {
	f, err := os.OpenFile(name, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	err = errors.Join(f.Truncate(size), f.Sync())
	return errors.Join(err, f.Close())
}

// Rename implements FS.
func (OS) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove implements FS.
func (OS) Remove(name string) error {
	return os.Remove(name)
}

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Lock implements FS with flock.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return f, nil
	}
	_ = f.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, ErrLocked
	}
	return nil, eris.Wrapf(err, "lock %s", name)
}
