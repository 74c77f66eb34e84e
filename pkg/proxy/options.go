package proxy

import "time"

// Options sets times and limits. Zero values take the defaults.
type Options struct {
	DefaultDeadline    time.Duration // of a request that names none; default 60 s
	MaxRequestTime     time.Duration // longest deadline; default 90 s, as the allocator's
	MaxBodyBytes       int64         // bytes of a request; default 1 MiB
	FirstByteTimeout   time.Duration // until an upstream answers; default 10 s
	StallTimeout       time.Duration // between two bytes of an answer; default 3 s
	CallerStallTimeout time.Duration // until a caller takes what is written; default 30 s
	RetryRatio         float64       // retries in progress per live request; default 0.25
	MinRetries         int           // retries in progress always allowed; default 32
	MaxPrefixBlocks    int           // hints kept for each upstream; default 16384
	InitialTokenTime   time.Duration // of one token, assumed before any request was seen; default 2 ms
	MaxQueueWait       time.Duration // longest expected wait in the queue; 0: the deadline alone decides

	Unsafe Unsafe
}

const (
	defaultDeadline     = 60 * time.Second
	defaultMaxRequest   = 90 * time.Second
	defaultMaxBody      = 1 << 20
	defaultFirstByte    = 10 * time.Second
	defaultStall        = 3 * time.Second
	defaultCallerStall  = 30 * time.Second
	defaultRetryShare   = 0.25
	defaultRetryLeast   = 32
	defaultPrefixBlocks = 1 << 14
)

func orElse[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (o Options) withDefaults() Options {
	orElse(&o.DefaultDeadline, defaultDeadline)
	orElse(&o.MaxRequestTime, defaultMaxRequest)
	orElse(&o.MaxBodyBytes, defaultMaxBody)
	orElse(&o.FirstByteTimeout, defaultFirstByte)
	orElse(&o.StallTimeout, defaultStall)
	orElse(&o.CallerStallTimeout, defaultCallerStall)
	orElse(&o.RetryRatio, defaultRetryShare)
	orElse(&o.MinRetries, defaultRetryLeast)
	orElse(&o.MaxPrefixBlocks, defaultPrefixBlocks)
	return o
}
