package replica

import "sync"

// outcome is how a proposal ended.
type outcome struct {
	value any
	err   error
}

type waiter struct {
	term uint64
	done chan outcome // holds one
}

// waiters are proposals that wait until their entry is applied.
type waiters struct {
	mu      sync.Mutex
	byIndex map[uint64]waiter
}

func newWaiters() *waiters {
	return &waiters{byIndex: make(map[uint64]waiter, waitersHintSize)}
}

func (w *waiters) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.byIndex)
}

// add replaces an older waiter of the index, whose entry is gone.
func (w *waiters) add(index, term uint64, done chan outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old, ok := w.byIndex[index]; ok {
		old.done <- outcome{err: ErrUnknownOutcome}
	}
	w.byIndex[index] = waiter{term: term, done: done}
}

// resolve answers the proposer of an entry, if it waits here.
func (w *waiters) resolve(index, term uint64, value any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old, ok := w.byIndex[index]
	if !ok {
		return
	}
	delete(w.byIndex, index)
	if old.term != term {
		old.done <- outcome{err: ErrUnknownOutcome}
		return
	}
	old.done <- outcome{value: value}
}

// failAfter gives up those behind an index, which may yet be replaced.
func (w *waiters) failAfter(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, old := range w.byIndex {
		if i > index {
			delete(w.byIndex, i)
			old.done <- outcome{err: ErrUnknownOutcome}
		}
	}
}

func (w *waiters) failAll() {
	w.failAfter(0)
}
