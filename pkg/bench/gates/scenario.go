package gates

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/fake/engine"
)

// scenario is what a simulation plays.
type scenario struct {
	seed     uint64
	gates    int
	groups   int
	domains  int
	model    engine.ModelOptions
	max      int // requests in flight on a proven group
	cold     int // on a just-started one
	ramp     time.Duration
	warm     bool          // groups are proven at the start
	load     float64       // of the capacity of all groups
	surge    float64       // load between surgeAt and surgeEnd; 0: as load
	surgeAt  time.Duration // the large organisation sends, or the load rises
	surgeEnd time.Duration
	large    float64 // load of one more organisation, at ten times its share
	hot      float64 // share of requests that come to the first gate; 0: even
	tokens   int     // mean length of an answer
	prompt   int     // bytes of a prompt
	prefixes int     // different prefixes of half the prompt's length
	deadline time.Duration
	leave    time.Duration // when a domain leaves; 0: never
	back     time.Duration // when it returns
	end      time.Duration
	from     time.Duration // figures count requests that arrive from here on
	to       time.Duration // and up to here; 0: the end
}

const (
	viewDelay    = 3 * time.Millisecond
	hopDelay     = time.Millisecond
	syncInterval = 500 * time.Millisecond
	loadInterval = 500 * time.Millisecond
	loadLag      = 200 * time.Millisecond
	eventLoss    = 0.02 // share of reports whose cache events are lost
)

func model() engine.ModelOptions {
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

func standard(load float64) scenario {
	return scenario{
		seed: 1, gates: 9, groups: 18, domains: 3, model: model(), max: 24, cold: 4, ramp: 12 * time.Second,
		warm: true, load: load, tokens: 100, prompt: 4096, prefixes: 120, deadline: 15 * time.Second,
		leave: 20 * time.Second, back: 50 * time.Second, end: 90 * time.Second, from: 10 * time.Second,
	}
}

func (s scenario) until() time.Duration {
	if s.to > 0 {
		return s.to
	}
	return s.end
}

// capacity is the requests a second that a proven group serves.
func (s scenario) capacity() float64 {
	step := s.model.StepBase + time.Duration(s.max)*s.model.StepPerSequence
	prefill := float64(s.prompt/4) * s.model.PrefillPerToken.Seconds()
	busy := float64(s.tokens)*step.Seconds()/float64(s.max) + prefill
	return 1 / busy
}

// rate is the requests a second at a moment, the large organisation's apart.
func (s scenario) rate(at time.Duration) float64 {
	load := s.load
	if s.surge > 0 && at >= s.surgeAt && at < s.surgeEnd {
		load = s.surge
	}
	return load * float64(s.groups) * s.capacity()
}

// largeRate is the requests a second of the large organisation.
func (s scenario) largeRate() float64 { return s.large * float64(s.groups) * s.capacity() }
