package coordinator

import (
	"context"
	"sync"
)

// addressLocks serializes work by address. The zero value is ready for use.
type addressLocks struct {
	mu   sync.Mutex
	held map[string]chan struct{} // closed when the lock is released
}

// lock waits for the lock of an address until ctx ends.
func (l *addressLocks) lock(ctx context.Context, address string) (unlock func(), err error) {
	for {
		released, ok := l.tryLock(address)
		if ok {
			return func() { l.unlock(address) }, nil
		}
		select {
		case <-released:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// tryLock takes the lock if it is free. Otherwise it returns a channel that is closed on its release.
func (l *addressLocks) tryLock(address string) (released <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if held, busy := l.held[address]; busy {
		return held, false
	}
	if l.held == nil {
		l.held = map[string]chan struct{}{}
	}
	l.held[address] = make(chan struct{})
	return nil, true
}

func (l *addressLocks) unlock(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.held[address])
	delete(l.held, address)
}
