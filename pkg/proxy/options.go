package proxy

import "time"

// Options configures timeouts and limits. Zero values select the defaults.
type Options struct {
	DefaultDeadline    time.Duration // deadline of a request that gives none; default 60 s
	MaxRequestTime     time.Duration // longest deadline; default 90 s, as in the permit allocator
	MaxBodyBytes       int64         // largest request body; default 1 MiB
	FirstByteTimeout   time.Duration // until the first byte of an upstream's answer; default 10 s
	StallTimeout       time.Duration // between two bytes of an upstream's answer; default 3 s
	CallerStallTimeout time.Duration // until a caller reads what was written; default 30 s
	RetryRatio         float64       // concurrent retries per active request; default 0.25
	MinRetries         int           // concurrent retries always allowed; default 32
	MaxPrefixBlocks    int           // prefix blocks remembered for each upstream; default 16384
	InitialTokenTime   time.Duration // assumed time per token before the first request finished; default 2 ms
	MaxQueueWait       time.Duration // longest expected queueing time; 0: limited by the deadline only

	Unsafe Unsafe
}

const (
	defaultDeadline           = 60 * time.Second
	defaultMaxRequestTime     = 90 * time.Second
	defaultMaxBodyBytes       = 1 << 20
	defaultFirstByteTimeout   = 10 * time.Second
	defaultStallTimeout       = 3 * time.Second
	defaultCallerStallTimeout = 30 * time.Second
	defaultRetryRatio         = 0.25
	defaultMinRetries         = 32
	defaultMaxPrefixBlocks    = 1 << 14
)

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (o Options) withDefaults() Options {
	setDefault(&o.DefaultDeadline, defaultDeadline)
	setDefault(&o.MaxRequestTime, defaultMaxRequestTime)
	setDefault(&o.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&o.FirstByteTimeout, defaultFirstByteTimeout)
	setDefault(&o.StallTimeout, defaultStallTimeout)
	setDefault(&o.CallerStallTimeout, defaultCallerStallTimeout)
	setDefault(&o.RetryRatio, defaultRetryRatio)
	setDefault(&o.MinRetries, defaultMinRetries)
	setDefault(&o.MaxPrefixBlocks, defaultMaxPrefixBlocks)
	return o
}
