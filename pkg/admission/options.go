package admission

import "time"

// Options are the settings of a Scheduler. A zero field selects its default.
type Options struct {
	// DefaultServiceTime is the service time of one unit of cost assumed before any request has
	// ended.
	DefaultServiceTime time.Duration
	// MaxWait limits the expected wait of a request, whatever its deadline. 0 means that only the
	// deadline limits it.
	MaxWait time.Duration
	// FairShareThreshold is the fraction of the capacity in use, in (0,1], above which
	// organisations over their share start no more requests. Default 0.5.
	FairShareThreshold float64
	// MaxQueued limits the queue of an organisation whose requests set no limit of their own.
	MaxQueued int

	Unsafe Unsafe
}

const (
	defaultServiceTime        = 2 * time.Millisecond
	defaultMaxQueued          = 256
	defaultFairShareThreshold = 0.5
)

func (o Options) withDefaults() Options {
	if o.DefaultServiceTime == 0 {
		o.DefaultServiceTime = defaultServiceTime
	}
	if o.MaxQueued == 0 {
		o.MaxQueued = defaultMaxQueued
	}
	if o.FairShareThreshold == 0 {
		o.FairShareThreshold = defaultFairShareThreshold
	}
	return o
}
