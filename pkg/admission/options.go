package admission

import "time"

// Options sets a flow.
type Options struct {
	// DefaultServiceTime is the service time of one unit of cost assumed before
	// any was seen.
	DefaultServiceTime time.Duration
	// MaxWait is the longest that a request may be expected to wait, whatever
	// its deadline. 0: the deadline alone decides.
	MaxWait time.Duration
	// FairShareThreshold is the share of the room in use, in (0,1], above which
	// organisations over their share start nothing more. Default 0.5.
	FairShareThreshold float64
	// MaxQueued bounds an organisation whose ticket has no bound of its own.
	MaxQueued int

	Unsafe Unsafe
}

const (
	defaultService   = 2 * time.Millisecond
	defaultMaxQueued = 256
	defaultComfort   = 0.5
)

func (o Options) withDefaults() Options {
	if o.DefaultServiceTime == 0 {
		o.DefaultServiceTime = defaultService
	}
	if o.MaxQueued == 0 {
		o.MaxQueued = defaultMaxQueued
	}
	if o.FairShareThreshold == 0 {
		o.FairShareThreshold = defaultComfort
	}
	return o
}
