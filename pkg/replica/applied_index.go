package replica

import "sync"

// appliedIndex is the index of the last applied entry. Readers can wait for it to reach an index.
type appliedIndex struct {
	mu      sync.Mutex
	index   uint64
	waiters map[chan struct{}]uint64
}

func newAppliedIndex(index uint64) *appliedIndex {
	return &appliedIndex{index: index, waiters: map[chan struct{}]uint64{}}
}

func (a *appliedIndex) get() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.index
}

func (a *appliedIndex) set(index uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index = index
	for ch, want := range a.waiters {
		if want <= index {
			delete(a.waiters, ch)
			close(ch)
		}
	}
}

// notifyAt returns a channel that is closed once the entry at index is applied.
func (a *appliedIndex) notifyAt(index uint64) chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	ch := make(chan struct{})
	if a.index >= index {
		close(ch)
		return ch
	}
	a.waiters[ch] = index
	return ch
}

func (a *appliedIndex) stopNotify(ch chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiters, ch)
}
