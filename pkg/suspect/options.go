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

// Options are the settings of a Machine. All replicas must use the same options. A zero field
// selects its default.
type Options struct {
	SuspectTTL   time.Duration // time from its last crash until a suspect is released
	ConvictedTTL time.Duration // time from its last crash until a convicted fingerprint is released
	CrashTTL     time.Duration // how long a crash is remembered; at least SuspectTTL
	// PlatformFailureCrashes crashes within PlatformFailureWindow that share no fingerprint are a
	// failure of the platform: a fingerprint that ran in only one of them does not become a
	// suspect, and one trial among them does not convict. A second crash or a second trial counts
	// again.
	PlatformFailureWindow  time.Duration
	PlatformFailureCrashes int
	MaxSuspects            int // maximum number of fingerprints; beyond it a crash creates no new suspects
	MaxCrashes             int // maximum number of crashes remembered; a new one replaces the oldest
	Unsafe                 Unsafe
}

// Unsafe disables protections. Only proofs set it.
type Unsafe struct {
	AnyCrashConvicts bool // convict after two crashes, even outside a trial
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
