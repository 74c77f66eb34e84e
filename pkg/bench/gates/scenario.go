package gates

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/fake/engine"
)

// scenario is the load, the fleet and the faults of a simulation.
type scenario struct {
	seed           uint64
	gates          int
	groups         int
	domains        int
	model          engine.ModelOptions
	maxInFlight    int // requests in flight on a proven group
	coldInFlight   int // requests in flight on a group that has just started
	rampTime       time.Duration
	startsProven   bool          // groups are proven at the start
	load           float64       // as a share of the capacity of all groups
	surgeLoad      float64       // load between surgeAt and surgeEnd; 0: no surge
	surgeAt        time.Duration // start of the surge
	surgeEnd       time.Duration
	largeLoad      float64 // load of the large organisation, as a share of the capacity
	firstGateShare float64 // share of the requests sent to the first gate; 0: spread evenly
	meanTokens     int     // of an answer
	promptBytes    int     // length of a prompt
	prefixCount    int     // number of different prefixes, each half a prompt
	deadline       time.Duration
	leaveAt        time.Duration // when a failure domain goes down; 0: never
	returnAt       time.Duration // when the domain returns
	endAt          time.Duration
	measureFrom    time.Duration // figures include requests that arrive from here on
	measureTo      time.Duration // and up to here; 0: up to endAt
}

const (
	viewDelay          = 3 * time.Millisecond
	hopDelay           = time.Millisecond
	syncInterval       = 500 * time.Millisecond
	loadReportInterval = 500 * time.Millisecond
	loadReportDelay    = 200 * time.Millisecond
	eventLossShare     = 0.02 // share of the reports whose cache events are lost
)

func engineOptions() engine.ModelOptions {
	return engine.ModelOptions{
		MaxBatch:        32,
		StepBase:        18 * time.Millisecond,
		StepPerSequence: 300 * time.Microsecond,
		PrefillPerToken: 50 * time.Microsecond,
		CacheBlocks:     1500,
		ColdTime:        12 * time.Second,
		ColdBatch:       4,
		ColdFactor:      1.5,
		CollapseFactor:  8,
	}
}

func standardScenario(load float64) scenario {
	return scenario{
		seed: 1, gates: 9, groups: 18, domains: 3, model: engineOptions(), maxInFlight: 24, coldInFlight: 4, rampTime: 12 * time.Second,
		startsProven: true, load: load, meanTokens: 100, promptBytes: 4096, prefixCount: 120, deadline: 15 * time.Second,
		leaveAt: 20 * time.Second, returnAt: 50 * time.Second, endAt: 90 * time.Second, measureFrom: 10 * time.Second,
	}
}

func (s scenario) measureEnd() time.Duration {
	if s.measureTo > 0 {
		return s.measureTo
	}
	return s.endAt
}

// capacity returns the requests per second that a proven group can serve.
func (s scenario) capacity() float64 {
	step := s.model.StepBase + time.Duration(s.maxInFlight)*s.model.StepPerSequence
	prefill := float64(s.promptBytes/4) * s.model.PrefillPerToken.Seconds()
	busy := float64(s.meanTokens)*step.Seconds()/float64(s.maxInFlight) + prefill
	return 1 / busy
}

// rate returns the requests per second at a time, without those of the large organisation.
func (s scenario) rate(at time.Duration) float64 {
	load := s.load
	if s.surgeLoad > 0 && at >= s.surgeAt && at < s.surgeEnd {
		load = s.surgeLoad
	}
	return load * float64(s.groups) * s.capacity()
}

// largeRate returns the requests per second of the large organisation.
func (s scenario) largeRate() float64 { return s.largeLoad * float64(s.groups) * s.capacity() }
