package disk

// memFile is a file of a Mem. It dies with the crash it lived through.
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
	err := f.fs.strike(OpWrite, f.name, func() error {
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

// Sync makes the content durable. A failed sync drops what was not durable,
// as a kernel does that marks the pages clean.
func (f *memFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.generation != f.fs.generation {
		return ErrCrashed
	}
	err := f.fs.strike(OpSync, f.name, func() error {
		f.inode.durable = len(f.inode.data)
		return nil
	})
	if err == ErrSyncFailed {
		f.inode.data = f.inode.data[:f.inode.durable:f.inode.durable]
	}
	return err
}

func (f *memFile) Close() error {
	return nil
}

// memLock is a held lock of a Mem.
type memLock struct {
	fs         *Mem
	name       string
	generation int
}

func (l *memLock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	if l.generation == l.fs.generation {
		delete(l.fs.locked, l.name)
	}
	return nil
}
