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

// Options are the settings of a Machine. All replicas must use the same options. A zero field
// selects its default.
type Options struct {
	MaxTombstones   int           // opaque keys that a service remembers, as records or as tombstones
	MaxKeyAhead     time.Duration // how far the time of a key may be in the future
	ConcludeTimeout time.Duration // time beyond the service's timeout until a record in progress becomes unknown
	NotRunRetention time.Duration // how long a record that did not run is kept

	Unsafe Unsafe
}

// Unsafe disables protections. Only proofs set it.
type Unsafe struct {
	ForgetUnknown bool // release the keys of a gate that is gone
	ForgetExpired bool // drop expired keys without a tombstone or floor
}

func (o Options) withDefaults() Options {
	o.MaxTombstones = cmp.Or(o.MaxTombstones, DefaultMaxTombstones)
	o.MaxKeyAhead = cmp.Or(o.MaxKeyAhead, DefaultMaxKeyAhead)
	o.ConcludeTimeout = cmp.Or(o.ConcludeTimeout, DefaultConcludeTimeout)
	o.NotRunRetention = cmp.Or(o.NotRunRetention, DefaultNotRunRetention)
	return o
}
