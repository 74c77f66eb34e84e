package groupday

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/group"
)

// DecisionCost is the time that the steps of the group machine took, as the given clock measures it.
type DecisionCost struct {
	Events      int // without ticks
	EventTime   time.Duration
	LongestStep time.Duration
	Ticks       int
	TickTime    time.Duration
}

func (c *DecisionCost) record(ev group.Event, d time.Duration) {
	c.LongestStep = max(c.LongestStep, d)
	if _, ok := ev.(group.Ticked); ok {
		c.Ticks++
		c.TickTime += d
		return
	}
	c.Events++
	c.EventTime += d
}

func (c DecisionCost) plus(o DecisionCost) DecisionCost {
	return DecisionCost{
		Events:      c.Events + o.Events,
		EventTime:   c.EventTime + o.EventTime,
		LongestStep: max(c.LongestStep, o.LongestStep),
		Ticks:       c.Ticks + o.Ticks,
		TickTime:    c.TickTime + o.TickTime,
	}
}

// MeanEventTime returns the mean time of a step whose event is not a tick.
func (c DecisionCost) MeanEventTime() time.Duration {
	if c.Events == 0 {
		return 0
	}
	return c.EventTime / time.Duration(c.Events)
}

// MeanTickTime returns the mean time of a tick.
func (c DecisionCost) MeanTickTime() time.Duration {
	if c.Ticks == 0 {
		return 0
	}
	return c.TickTime / time.Duration(c.Ticks)
}
