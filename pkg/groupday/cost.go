package groupday

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/group"
)

// Cost is the processor time that decisions took.
type Cost struct {
	Events  int
	Total   time.Duration
	Longest time.Duration
	Ticks   int
	InTicks time.Duration
}

func (c *Cost) add(ev group.Event, d time.Duration) {
	c.Longest = max(c.Longest, d)
	if _, ok := ev.(group.Ticked); ok {
		c.Ticks++
		c.InTicks += d
		return
	}
	c.Events++
	c.Total += d
}

func (c Cost) sum(o Cost) Cost {
	return Cost{
		Events:  c.Events + o.Events,
		Total:   c.Total + o.Total,
		Longest: max(c.Longest, o.Longest),
		Ticks:   c.Ticks + o.Ticks,
		InTicks: c.InTicks + o.InTicks,
	}
}

// PerEvent is the mean time of an event that is not a tick.
func (c Cost) PerEvent() time.Duration {
	if c.Events == 0 {
		return 0
	}
	return c.Total / time.Duration(c.Events)
}

// PerTick is the mean time of a tick.
func (c Cost) PerTick() time.Duration {
	if c.Ticks == 0 {
		return 0
	}
	return c.InTicks / time.Duration(c.Ticks)
}
