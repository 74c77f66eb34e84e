package gates

import (
	"container/heap"
	"time"
)

// event is a function to be called at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// events is a heap of events by time, then by the order of scheduling.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// clock is the virtual time of a simulation, with its scheduled events.
type clock struct {
	now          time.Duration
	lastSequence uint64
	queue        events
}

// after schedules a call after a delay.
func (c *clock) after(d time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.queue, event{at: c.now + d, sequence: c.lastSequence, run: run})
}

// every schedules a call at each interval until the simulation ends.
func (c *clock) every(d time.Duration, run func()) {
	c.after(d, func() {
		run()
		c.every(d, run)
	})
}

// runUntil runs the events that are due up to a time.
func (c *clock) runUntil(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}
