package once

import (
	"context"
	"os"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// backend orders commands, makes them durable and applies them.
type backend interface {
	propose(ctx context.Context, c command) (any, error)
	close() error
}

// memoryLog applies commands at once and keeps nothing.
type memoryLog struct {
	mu      sync.Mutex
	applier *applier
}

func newMemoryLog() *memoryLog { return &memoryLog{applier: newApplier()} }

func (l *memoryLog) propose(_ context.Context, c command) (any, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.applier.apply(c), nil
}

func (l *memoryLog) close() error { return nil }

// fileLog syncs each command to one file before it applies it.
type fileLog struct {
	memoryLog
	file *os.File
}

func newFileLog() (*fileLog, error) {
	f, err := os.CreateTemp("", "sesamemux-once-*.log")
	if err != nil {
		return nil, err
	}
	return &fileLog{memoryLog: memoryLog{applier: newApplier()}, file: f}, nil
}

func (l *fileLog) propose(_ context.Context, c command) (any, error) {
	b, err := msgpack.Marshal(&c)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.file.Write(b); err != nil {
		return nil, err
	}
	if err := l.file.Sync(); err != nil {
		return nil, err
	}
	return l.applier.apply(c), nil
}

func (l *fileLog) close() error {
	defer os.Remove(l.file.Name())
	return l.file.Close()
}
