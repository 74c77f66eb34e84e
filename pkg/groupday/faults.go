package groupday

import (
	"math"
	"math/rand/v2"
	"time"
)

// FaultCounts is the number of faults of each kind in a day.
type FaultCounts struct {
	HostFailures  int // hosts that fail and are replaced after hours
	HostRestarts  int // hosts that return as a new process within minutes
	HostPauses    int // hosts that become unreachable and return with the same process
	RackOutages   int // fabric domains that go down; their hosts return restarted
	SwitchOutages int // fabric domains that become unreachable; their hosts return with the same process
}

// TargetFaultCounts returns the faults of an ordinary day in the target fleet.
func TargetFaultCounts() FaultCounts {
	return FaultCounts{HostFailures: 180, HostRestarts: 3700, HostPauses: 3700, RackOutages: 1}
}

// CurrentFaultCounts returns the target's faults scaled down to the current fleet, and one
// outage of a fabric switch.
func CurrentFaultCounts() FaultCounts {
	return FaultCounts{HostFailures: 1, HostRestarts: 15, HostPauses: 15, SwitchOutages: 1}
}

// faultKind is the kind of a fault of one host.
type faultKind int

const (
	hostFails faultKind = iota
	hostRestarts
	hostPauses
)

// hostFault is one fault of one host.
type hostFault struct {
	at       time.Duration // from the start of the day
	host     int
	kind     faultKind
	duration time.Duration
}

const dayLength = 24 * time.Hour

// drawFaults draws the faults of a day from a seed. They do not depend on the decisions of the machine,
// so that all policies meet the same faults.
func (t FaultCounts) drawFaults(f Fleet, seed uint64) []hostFault {
	r := rand.New(rand.NewPCG(seed, 77))
	var all []hostFault
	for range t.HostFailures {
		all = append(all, randomHostFault(f, r, hostFails, randomBetween(r, 4*time.Hour, 8*time.Hour)))
	}
	for range t.HostRestarts {
		all = append(all, randomHostFault(f, r, hostRestarts, randomBetween(r, 20*time.Second, 180*time.Second)))
	}
	for range t.HostPauses {
		all = append(all, randomHostFault(f, r, hostPauses, randomPause(r)))
	}
	for range t.RackOutages {
		all = append(all, randomFabricFaults(f, r, hostRestarts, randomBetween(r, 10*time.Minute, 60*time.Minute))...)
	}
	for range t.SwitchOutages {
		all = append(all, randomFabricFaults(f, r, hostPauses, randomBetween(r, time.Minute, 10*time.Minute))...)
	}
	return all
}

func randomHostFault(f Fleet, r *rand.Rand, k faultKind, duration time.Duration) hostFault {
	return hostFault{at: randomBelow(r, dayLength), host: r.IntN(f.Hosts()), kind: k, duration: duration}
}

// randomFabricFaults draws a fault that affects all hosts of one fabric domain at the same time.
func randomFabricFaults(f Fleet, r *rand.Rand, k faultKind, duration time.Duration) []hostFault {
	at := randomBelow(r, dayLength)
	first := r.IntN(f.FabricDomains) * f.HostsPerFabric
	all := make([]hostFault, f.HostsPerFabric)
	for i := range all {
		hostDuration := duration
		if k == hostRestarts {
			hostDuration += randomBetween(r, 0, time.Minute)
		}
		all[i] = hostFault{at: at, host: first + i, kind: k, duration: hostDuration}
	}
	return all
}

func randomBetween(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + randomBelow(r, high-low)
}

// randomBelow draws a duration below a bound.
func randomBelow(r *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(bound)))
}

const (
	medianPause    = 6 * time.Second
	pauseLogStdDev = 1.0 // of the log-normal distribution of pauses
)

func randomPause(r *rand.Rand) time.Duration {
	return time.Duration(float64(medianPause) * math.Exp(pauseLogStdDev*r.NormFloat64()))
}

// TenthOfTargetFaultCounts returns the target's faults for a tenth of its hosts, and one rack
// outage.
func TenthOfTargetFaultCounts() FaultCounts {
	return FaultCounts{HostFailures: 18, HostRestarts: 370, HostPauses: 370, RackOutages: 1}
}
