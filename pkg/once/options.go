package once

import (
	"cmp"
	"time"
)

// Defaults of Options.
const (
	DefaultMaxTombstones   = 1 << 20
	DefaultMaxKeyAhead     = 10 * time.Minute
	DefaultConcludeTimeout = time.Minute
	DefaultNotRunRetention = time.Minute
)

// Options bounds a machine. Every replica must have the same. Zero fields take
// the defaults.
type Options struct {
	MaxTombstones   int           // opaque keys that a service remembers, alive or expired
	MaxKeyAhead     time.Duration // how far the time of a key may lie in the future
	ConcludeTimeout time.Duration // beyond the service's timeout, until a record in progress becomes unknown
	NotRunRetention time.Duration // how long a record that did not run is kept

	Unsafe Unsafe
}

// Unsafe switches protections off. Only proofs set it.
type Unsafe struct {
	ForgetUnknown bool // a gate that is gone frees its keys
	ForgetExpired bool // expired keys leave no trace
}

func (o Options) withDefaults() Options {
	o.MaxTombstones = cmp.Or(o.MaxTombstones, DefaultMaxTombstones)
	o.MaxKeyAhead = cmp.Or(o.MaxKeyAhead, DefaultMaxKeyAhead)
	o.ConcludeTimeout = cmp.Or(o.ConcludeTimeout, DefaultConcludeTimeout)
	o.NotRunRetention = cmp.Or(o.NotRunRetention, DefaultNotRunRetention)
	return o
}
