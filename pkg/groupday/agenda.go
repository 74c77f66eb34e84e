package groupday

import (
	"container/heap"
	"time"
)

// entry is something to be done at a time.
type entry struct {
	at       time.Duration
	sequence int
	do       func()
}

// agenda is what is to be done, in order of time.
type agenda struct {
	added   int
	entries entries
}

func (a *agenda) add(at time.Duration, do func()) {
	a.added++
	heap.Push(&a.entries, entry{at: at, sequence: a.added, do: do})
}

// next tells the time of the first entry.
func (a *agenda) next() (time.Duration, bool) {
	if len(a.entries) == 0 {
		return 0, false
	}
	return a.entries[0].at, true
}

func (a *agenda) take() entry { return heap.Pop(&a.entries).(entry) }

// entries is a heap by time.
type entries []entry

func (h entries) Len() int      { return len(h) }
func (h entries) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h entries) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Push adds an entry.
func (h *entries) Push(x any) { *h = append(*h, x.(entry)) }

// Pop takes the last entry out.
func (h *entries) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = entry{}
	*h = (*h)[:last]
	return e
}
