package disk

// memFile is an open file of a Mem. It becomes unusable when the file system restarts.
type memFile struct {
	fs         *Mem
	inode      *inode
	name       string
	generation int
}

func (f *memFile) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.generation != f.fs.generation {
		return 0, ErrCrashed
	}
	err := f.fs.execute(OpWrite, f.name, func() error {
		f.inode.data = append(f.inode.data, p...)
		return nil
	})
	if err == ErrFull {
		f.inode.data = append(f.inode.data, p[:len(p)/2]...)
		return len(p) / 2, err
	}
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// Sync makes the content durable. A failed sync discards the content that was not durable, like a
// kernel that marks the pages clean after a write error.
func (f *memFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.generation != f.fs.generation {
		return ErrCrashed
	}
	err := f.fs.execute(OpSync, f.name, func() error {
		f.inode.durableBytes = len(f.inode.data)
		return nil
	})
	if err == ErrSyncFailed {
		f.inode.data = f.inode.data[:f.inode.durableBytes:f.inode.durableBytes]
	}
	return err
}

func (f *memFile) Close() error {
	return nil
}

// memLock is a lock on a file of a Mem.
type memLock struct {
	fs         *Mem
	name       string
	generation int
}

func (l *memLock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	if l.generation == l.fs.generation {
		delete(l.fs.locks, l.name)
	}
	return nil
}
