package gates

import (
	"container/heap"
	"time"
)

// event is something that happens at a moment.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

// events is a heap of events by time, then order of scheduling.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
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

// clock is the simulation's time.
type clock struct {
	now   time.Duration
	order uint64
	queue events
}

// after schedules something.
func (c *clock) after(d time.Duration, do func()) {
	c.order++
	heap.Push(&c.queue, event{at: c.now + d, order: c.order, do: do})
}

// every repeats something until the run ends.
func (c *clock) every(d time.Duration, do func()) {
	c.after(d, func() {
		do()
		c.every(d, do)
	})
}

// run lets time pass until a moment.
func (c *clock) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}
