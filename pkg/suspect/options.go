package suspect

import (
	"cmp"
	"time"
)

// Defaults of Options.
const (
	DefaultSuspectTime   = 10 * time.Minute
	DefaultConvictedTime = time.Hour
	DefaultCrashTime     = 10 * time.Minute
	DefaultMassWindow    = 5 * time.Second
	DefaultMassCrashes   = 4
	DefaultMaxSuspects   = 1024
	DefaultMaxCrashes    = 1024
)

// Options bounds a machine. Every replica must have the same. Zero fields take
// the defaults.
type Options struct {
	SuspectTime   time.Duration // since its last crash, until a suspect is free again
	ConvictedTime time.Duration // since its last crash, until a convicted fingerprint is free again
	CrashTime     time.Duration // how long a crash is remembered, at least SuspectTime
	// MassCrashes within MassWindow that share no fingerprint are a failure of
	// the platform: a fingerprint that ran in one of them becomes no suspect,
	// and one trial among them convicts none. Two of either count again.
	MassWindow  time.Duration
	MassCrashes int
	MaxSuspects int // fingerprints held at most; beyond it a crash makes no new ones
	MaxCrashes  int // crashes remembered at most; the oldest is forgotten for a new one
	Unsafe      Unsafe
}

// Unsafe switches protections off. Only proofs set it.
type Unsafe struct {
	AnyCrashConvicts bool // two crashes convict, also outside a trial
}

func (o Options) withDefaults() Options {
	o.SuspectTime = cmp.Or(o.SuspectTime, DefaultSuspectTime)
	o.ConvictedTime = cmp.Or(o.ConvictedTime, DefaultConvictedTime)
	o.CrashTime = cmp.Or(o.CrashTime, DefaultCrashTime)
	o.MassWindow = cmp.Or(o.MassWindow, DefaultMassWindow)
	o.MassCrashes = cmp.Or(o.MassCrashes, DefaultMassCrashes)
	o.MaxSuspects = cmp.Or(o.MaxSuspects, DefaultMaxSuspects)
	o.MaxCrashes = cmp.Or(o.MaxCrashes, DefaultMaxCrashes)
	return o
}
