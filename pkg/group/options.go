package group

import "time"

// Policy says how broken groups are repaired.
type Policy int

// The repair policies. PolicyRebuild and PolicyWait are baselines.
const (
	PolicyMinDowntime Policy = iota // the choice with the least expected downtime
	PolicyRebuild                   // dissolve and form anew at once
	PolicyWait                      // wait for the missing host, always
)

// LoadOrder says how the weights store's rate is divided.
type LoadOrder int

// The load orders. EqualShare is the baseline.
const (
	LoadSequential LoadOrder = iota // one group after another, shortest remaining first
	LoadConcurrent                  // every waiting member loads at once
)

// Defaults of Options.
const (
	DefaultStoreRate        = 4 << 30 // bytes a second
	DefaultHostRate         = 1 << 30 // bytes a second
	DefaultMaxOrderDelay    = 6 * time.Second
	DefaultDrainTimeout     = 30 * time.Second
	DefaultSurplusRetention = 2 * time.Minute
	DefaultSpares           = 1
)

// NoSpares asks for no spares, as 0 stands for the default.
const NoSpares = -1

// Options are the machine's settings. A zero field stands for its default.
// All replicas must use the same.
type Options struct {
	StoreRate        int64         // bytes a second that the weights store gives in total
	HostRate         int64         // bytes a second that one host can fetch
	SparesPerDomain  int           // hosts that placement leaves free in a fabric domain
	MaxOrderDelay    time.Duration // time after which a withdrawn order can't arrive any more
	DrainTimeout     time.Duration // longest wait for running work of a draining group
	SurplusRetention time.Duration // how long surplus serving groups are kept
	Policy           Policy
	LoadOrder        LoadOrder
	ColdSpares       bool // free hosts hold no weights
	// FixedGrace replaces the learned wait for silent members where it is
	// above 0, and turns waiting off where it is below.
	FixedGrace time.Duration
	// Unsafe turns mechanisms off, for proofs that a check sees the fault.
	Unsafe Unsafe
}

// Unsafe names the mechanisms that proofs turn off.
type Unsafe struct {
	NoBarrier         bool // roles change without waiting for gates
	NoOrderDelay      bool // engines that ignore fences are re-ordered at once
	NoReadBack        bool // a member counts as ready once it reported so, forever
	IgnoreIncarnation bool // a host that came back counts as the one that left
	IgnoreEpoch       bool // the epoch of reports is not compared
	IgnoreMinimum     bool // rollouts take every group out at once
	IgnoreDrains      bool // drains do not stop groups
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

// slots is the number of hosts that fetch at full rate at the same time.
func (o Options) slots() int {
	n := int((o.StoreRate + o.HostRate - 1) / o.HostRate)
	return max(1, n)
}

// loadTime is how long one member fetches weights when the store is not
// shared with more than slots.
func (o Options) loadTime(weights int64) time.Duration {
	rate := min(o.HostRate, o.StoreRate)
	return time.Duration(float64(weights) / float64(rate) * float64(time.Second))
}
