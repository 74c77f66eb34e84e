package group

import "time"

// Policy selects how broken groups are repaired.
type Policy int

// The repair policies. PolicyRebuild and PolicyWait are baselines.
const (
	PolicyMinDowntime Policy = iota // minimise the expected downtime
	PolicyRebuild                   // dissolve the group and form a new one at once
	PolicyWait                      // always wait for the missing host
)

// LoadOrder selects how the transfer rate of the weights store is divided.
type LoadOrder int

// The load orders. LoadConcurrent is the baseline.
const (
	LoadSequential LoadOrder = iota // one group after another, fewest remaining members first
	LoadConcurrent                  // all waiting members load at the same time
)

// Defaults of Options.
const (
	DefaultStoreRate        = 4 << 30 // bytes per second
	DefaultHostRate         = 1 << 30 // bytes per second
	DefaultMaxOrderDelay    = 6 * time.Second
	DefaultDrainTimeout     = 30 * time.Second
	DefaultSurplusRetention = 2 * time.Minute
	DefaultSpares           = 1
)

// NoSpares requests no spares; 0 selects the default.
const NoSpares = -1

// Options are the settings of a Machine. A zero field selects its default. All replicas must use
// the same options.
type Options struct {
	StoreRate        int64         // total bytes per second that the weights store delivers
	HostRate         int64         // bytes per second that one host can load
	SparesPerDomain  int           // hosts that placement leaves free in each fabric domain
	MaxOrderDelay    time.Duration // time after which a withdrawn order can no longer arrive
	DrainTimeout     time.Duration // longest wait for work running on a draining group
	SurplusRetention time.Duration // how long surplus groups that serve are kept
	Policy           Policy
	LoadOrder        LoadOrder
	ColdSpares       bool // free hosts hold no weights
	// FixedGrace, if above 0, replaces the learned grace period for silent members. A negative
	// value disables the grace period.
	FixedGrace time.Duration
	// Unsafe disables protections, to prove that the checks detect the resulting fault.
	Unsafe Unsafe
}

// Unsafe selects the protections that proofs disable.
type Unsafe struct {
	NoBarrier         bool // change roles without waiting for the gates
	NoOrderDelay      bool // send engines that ignore fencing numbers another order at once
	NoReadBack        bool // count a member as ready for good once it has reported so
	IgnoreIncarnation bool // treat a restarted host as the process that was lost
	IgnoreEpoch       bool // don't compare the epoch of reports
	IgnoreMinimum     bool // take all groups out of service at once in a rollout
	IgnoreDrains      bool // keep drained groups in service
}

func (o Options) withDefaults() Options {
	if o.StoreRate <= 0 {
		o.StoreRate = DefaultStoreRate
	}
	if o.HostRate <= 0 {
		o.HostRate = DefaultHostRate
	}
	if o.MaxOrderDelay <= 0 {
		o.MaxOrderDelay = DefaultMaxOrderDelay
	}
	if o.DrainTimeout <= 0 {
		o.DrainTimeout = DefaultDrainTimeout
	}
	if o.SurplusRetention <= 0 {
		o.SurplusRetention = DefaultSurplusRetention
	}
	if o.SparesPerDomain == 0 {
		o.SparesPerDomain = DefaultSpares
	}
	if o.SparesPerDomain < 0 {
		o.SparesPerDomain = 0
	}
	return o
}

// slots returns the number of hosts that can load at full rate at the same time.
func (o Options) slots() int {
	n := int((o.StoreRate + o.HostRate - 1) / o.HostRate)
	return max(1, n)
}

// loadTime returns how long one member takes to load weights while no more hosts than slots share
// the store.
func (o Options) loadTime(weights int64) time.Duration {
	rate := min(o.HostRate, o.StoreRate)
	return time.Duration(float64(weights) / float64(rate) * float64(time.Second))
}
