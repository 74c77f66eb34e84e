package replica

import "sync"

// proposalOutcome is the result or error of a proposal.
type proposalOutcome struct {
	value any
	err   error
}

type proposalWaiter struct {
	term uint64
	done chan proposalOutcome // buffered, for one
}

// proposalWaiters holds the proposals whose entries have not been applied yet.
type proposalWaiters struct {
	mu      sync.Mutex
	byIndex map[uint64]proposalWaiter
}

func newProposalWaiters() *proposalWaiters {
	return &proposalWaiters{byIndex: make(map[uint64]proposalWaiter, initialWaiters)}
}

func (w *proposalWaiters) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.byIndex)
}

// add adds a waiter for the entry at index. An older waiter at that index gets ErrUnknownOutcome:
// its entry has been overwritten.
func (w *proposalWaiters) add(index, term uint64, done chan proposalOutcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old, ok := w.byIndex[index]; ok {
		old.done <- proposalOutcome{err: ErrUnknownOutcome}
	}
	w.byIndex[index] = proposalWaiter{term: term, done: done}
}

// resolve passes the result of an applied entry to its proposer, if that is waiting here.
func (w *proposalWaiters) resolve(index, term uint64, value any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old, ok := w.byIndex[index]
	if !ok {
		return
	}
	delete(w.byIndex, index)
	if old.term != term {
		old.done <- proposalOutcome{err: ErrUnknownOutcome}
		return
	}
	old.done <- proposalOutcome{value: value}
}

// failAfter gives ErrUnknownOutcome to the waiters after index, whose entries may be overwritten.
func (w *proposalWaiters) failAfter(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, old := range w.byIndex {
		if i > index {
			delete(w.byIndex, i)
			old.done <- proposalOutcome{err: ErrUnknownOutcome}
		}
	}
}

func (w *proposalWaiters) failAll() {
	w.failAfter(0)
}
