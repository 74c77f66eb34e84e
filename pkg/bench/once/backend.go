package once

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sesamemux/sesamemux/pkg/object"
	machine "github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/prove/recordlog"
)

const (
	networkDelay = time.Millisecond // one way
	electionWait = 10 * time.Second
)

// backend orders commands, makes them durable and applies them.
type backend interface {
	Propose(ctx context.Context, c recordlog.Command) (recordlog.Result, error)
	Close() error
}

func measuredSet() object.Set { return object.Set{Services: []object.Service{measured()}} }

// memoryLog applies commands at once and keeps nothing.
type memoryLog struct {
	mu      sync.Mutex
	applier *recordlog.Applier
}

func newMemoryLog() *memoryLog {
	return &memoryLog{applier: recordlog.NewApplier(machine.Options{}, measuredSet())}
}

// Propose implements backend.
func (l *memoryLog) Propose(_ context.Context, c recordlog.Command) (recordlog.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.applier.Execute(c), nil
}

// Close implements backend.
func (l *memoryLog) Close() error { return nil }

// fileLog syncs each command to one file before it applies it.
type fileLog struct {
	memory *memoryLog
	mu     sync.Mutex
	file   *os.File
}

func newFileLog() (*fileLog, error) {
	f, err := os.CreateTemp("", "sesamemux-once-*.log")
	if err != nil {
		return nil, err
	}
	return &fileLog{memory: newMemoryLog(), file: f}, nil
}

// Propose implements backend.
func (l *fileLog) Propose(ctx context.Context, c recordlog.Command) (recordlog.Result, error) {
	b, err := msgpack.Marshal(&c)
	if err != nil {
		return recordlog.Result{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.file.Write(b); err != nil {
		return recordlog.Result{}, err
	}
	if err := l.file.Sync(); err != nil {
		return recordlog.Result{}, err
	}
	return l.memory.Propose(ctx, c)
}

// Close implements backend.
func (l *fileLog) Close() error {
	return errors.Join(l.file.Close(), os.Remove(l.file.Name()))
}

// quorum is three replicas with folders on the host's disk.
type quorum struct {
	*recordlog.Quorum
	dir string
}

func newQuorum(syncEach bool) (*quorum, error) {
	dir, err := os.MkdirTemp("", "sesamemux-once-*")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), electionWait)
	defer cancel()
	q, err := recordlog.New(ctx, recordlog.Config{
		Set:           measuredSet(),
		Delay:         networkDelay,
		Dir:           dir,
		SyncEachEntry: syncEach,
		Seed:          1,
	})
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	return &quorum{Quorum: q, dir: dir}, nil
}

// Close implements backend.
func (q *quorum) Close() error {
	return errors.Join(q.Quorum.Close(), os.RemoveAll(q.dir))
}
