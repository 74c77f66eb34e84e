package suspect

import (
	"cmp"
	"time"
)

// Defaults of Options.
const (
	DefaultSuspectTTL             = 10 * time.Minute
	DefaultConvictedTTL           = time.Hour
	DefaultCrashTTL               = 10 * time.Minute
	DefaultPlatformFailureWindow  = 5 * time.Second
	DefaultPlatformFailureCrashes = 4
	DefaultMaxSuspects            = 1024
	DefaultMaxCrashes             = 1024
)

// Options bounds a machine. Every replica must have the same. Zero fields take
// the defaults.
type Options struct {
	SuspectTTL   time.Duration // since its last crash, until a suspect is free again
	ConvictedTTL time.Duration // since its last crash, until a convicted fingerprint is free again
	CrashTTL     time.Duration // how long a crash is remembered, at least SuspectTime
	// MassCrashes within MassWindow that share no fingerprint are a failure of
	// the platform: a fingerprint that ran in one of them becomes no suspect,
	// and one trial among them convicts none. Two of either count again.
	PlatformFailureWindow  time.Duration
	PlatformFailureCrashes int
	MaxSuspects            int // fingerprints held at most; beyond it a crash makes no new ones
	MaxCrashes             int // crashes remembered at most; the oldest is forgotten for a new one
	Unsafe                 Unsafe
}

// Unsafe switches protections off. Only proofs set it.
type Unsafe struct {
	AnyCrashConvicts bool // two crashes convict, also outside a trial
}

func (o Options) withDefaults() Options {
	o.SuspectTTL = cmp.Or(o.SuspectTTL, DefaultSuspectTTL)
	o.ConvictedTTL = cmp.Or(o.ConvictedTTL, DefaultConvictedTTL)
	o.CrashTTL = cmp.Or(o.CrashTTL, DefaultCrashTTL)
	o.PlatformFailureWindow = cmp.Or(o.PlatformFailureWindow, DefaultPlatformFailureWindow)
	o.PlatformFailureCrashes = cmp.Or(o.PlatformFailureCrashes, DefaultPlatformFailureCrashes)
	o.MaxSuspects = cmp.Or(o.MaxSuspects, DefaultMaxSuspects)
	o.MaxCrashes = cmp.Or(o.MaxCrashes, DefaultMaxCrashes)
	return o
}
