package groupday

import (
	"container/heap"
	"time"
)

// scheduledEvent is a function to be called at a virtual time.
type scheduledEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

// eventQueue holds the scheduled events in order of time; events of the same time run in the order in
// which they were scheduled.
type eventQueue struct {
	lastSequence int
	events       eventHeap
}

func (a *eventQueue) schedule(at time.Duration, run func()) {
	a.lastSequence++
	heap.Push(&a.events, scheduledEvent{at: at, sequence: a.lastSequence, run: run})
}

// nextTime returns the time of the first event, and false if there is none.
func (a *eventQueue) nextTime() (time.Duration, bool) {
	if len(a.events) == 0 {
		return 0, false
	}
	return a.events[0].at, true
}

func (a *eventQueue) pop() scheduledEvent { return heap.Pop(&a.events).(scheduledEvent) }

// eventHeap is a heap of events by time, then sequence.
type eventHeap []scheduledEvent

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = scheduledEvent{}
	*h = (*h)[:last]
	return e
}
