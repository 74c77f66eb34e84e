package groupday

import (
	"math"
	"math/rand/v2"
	"time"
)

// FaultCounts is how often what fails in a day.
type FaultCounts struct {
	HostFailures  int // hosts that die and are replaced hours later
	HostRestarts  int // hosts that come back as a new process within minutes
	HostPauses    int // hosts that fall silent and come back as they were
	RackOutages   int // fabric domains that go dark and come back restarted
	SwitchOutages int // fabric domains that go dark and come back as they were
}

// TargetFaultCounts is an ordinary day at the target.
func TargetFaultCounts() FaultCounts {
	return FaultCounts{HostFailures: 180, HostRestarts: 3700, HostPauses: 3700, RackOutages: 1}
}

// CurrentFaultCounts is the target's day scaled down to today's fleet, and one
// switch.
func CurrentFaultCounts() FaultCounts {
	return FaultCounts{HostFailures: 1, HostRestarts: 15, HostPauses: 15, SwitchOutages: 1}
}

// kind is what happens to a host.
type kind int

const (
	dies kind = iota
	restarts
	pauses
)

// strike is one fault of one host.
type strike struct {
	at   time.Duration // from the start of the day
	host int
	kind kind
	away time.Duration
}

const day = 24 * time.Hour

// strikes draws the faults of a day. They do not depend on what the machine
// does.
func (t FaultCounts) strikes(f Fleet, seed uint64) []strike {
	r := rand.New(rand.NewPCG(seed, 77))
	var all []strike
	for range t.HostFailures {
		all = append(all, single(f, r, dies, between(r, 4*time.Hour, 8*time.Hour)))
	}
	for range t.HostRestarts {
		all = append(all, single(f, r, restarts, between(r, 20*time.Second, 180*time.Second)))
	}
	for range t.HostPauses {
		all = append(all, single(f, r, pauses, pauseTime(r)))
	}
	for range t.RackOutages {
		all = append(all, fabric(f, r, restarts, between(r, 10*time.Minute, 60*time.Minute))...)
	}
	for range t.SwitchOutages {
		all = append(all, fabric(f, r, pauses, between(r, time.Minute, 10*time.Minute))...)
	}
	return all
}

func single(f Fleet, r *rand.Rand, k kind, away time.Duration) strike {
	return strike{at: upTo(r, day), host: r.IntN(f.Hosts()), kind: k, away: away}
}

// fabric strikes all hosts of one fabric domain.
func fabric(f Fleet, r *rand.Rand, k kind, away time.Duration) []strike {
	at := upTo(r, day)
	first := r.IntN(f.FabricDomains) * f.HostsPerFabric
	all := make([]strike, f.HostsPerFabric)
	for i := range all {
		own := away
		if k == restarts {
			own += between(r, 0, time.Minute)
		}
		all[i] = strike{at: at, host: first + i, kind: k, away: own}
	}
	return all
}

func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + upTo(r, high-low)
}

// upTo draws a time below a bound.
func upTo(r *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(bound)))
}

const (
	medianPause = 6 * time.Second
	pauseSpread = 1.0 // standard deviation of the logarithm
)

func pauseTime(r *rand.Rand) time.Duration {
	return time.Duration(float64(medianPause) * math.Exp(pauseSpread*r.NormFloat64()))
}

// TenthOfTargetFaultCounts is the target's day for a tenth of its hosts, and a rack.
func TenthOfTargetFaultCounts() FaultCounts {
	return FaultCounts{HostFailures: 18, HostRestarts: 370, HostPauses: 370, RackOutages: 1}
}
