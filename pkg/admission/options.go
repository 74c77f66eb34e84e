package admission

import "time"

// Options sets a flow.
type Options struct {
	// DefaultService is the service time assumed before any was seen.
	DefaultService time.Duration
	// MaxQueued bounds an organisation whose ticket has no bound of its own.
	MaxQueued int

	Unguarded Unguarded
}

const (
	defaultService   = 500 * time.Millisecond
	defaultMaxQueued = 256
)

func (o Options) withDefaults() Options {
	if o.DefaultService == 0 {
		o.DefaultService = defaultService
	}
	if o.MaxQueued == 0 {
		o.MaxQueued = defaultMaxQueued
	}
	return o
}
