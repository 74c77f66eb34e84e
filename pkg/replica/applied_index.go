package replica

import "sync"

// appliedIndex lets readers wait until an index is applied.
type appliedIndex struct {
	mu      sync.Mutex
	index   uint64
	waiting map[chan struct{}]uint64
}

func newAppliedIndex(index uint64) *appliedIndex {
	return &appliedIndex{index: index, waiting: map[chan struct{}]uint64{}}
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
	for ch, want := range a.waiting {
		if want <= index {
			delete(a.waiting, ch)
			close(ch)
		}
	}
}

// reached returns a channel that is closed once an index is applied.
func (a *appliedIndex) reached(index uint64) chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	ch := make(chan struct{})
	if a.index >= index {
		close(ch)
		return ch
	}
	a.waiting[ch] = index
	return ch
}

func (a *appliedIndex) forget(ch chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, ch)
}
