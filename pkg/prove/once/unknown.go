package once

import (
	"fmt"

	"github.com/sesamemux/sesamemux/pkg/fake/service"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/prove"
)

// OutcomeQuery says whether a service can be asked for an outcome.
type OutcomeQuery string

// The ways of asking.
const (
	QueryUnsupported OutcomeQuery = "service can't be asked"
	QuerySupported   OutcomeQuery = "service is asked"
	QueryBarsKey     OutcomeQuery = "service is asked and bars the key"
)

// OutcomeQueries returns all ways of asking.
func OutcomeQueries() []OutcomeQuery {
	return []OutcomeQuery{QueryUnsupported, QuerySupported, QueryBarsKey}
}

// unknownFaults are the faults under which outcomes are counted.
var unknownFaults = []struct {
	name   string
	plan   plan
	struck int // calls that it strikes
}{
	{"gate killed after the intent", plan{strike: kill, step: afterIntent}, 1},
	{"gate killed after the request", plan{strike: kill, step: afterRequest}, 1},
	{"gate killed before the outcome is recorded", plan{strike: kill, step: beforeConclusion}, 1},
	{"gate frozen after the request", plan{strike: freeze, step: afterRequest}, 1},
	{"host leaves before the first byte", plan{strike: leave, step: beforeDial}, 1},
	{"service cut before it runs", plan{serviceFault: service.FaultCutBefore}, serviceStruck},
	{"service cut after it ran", plan{serviceFault: service.FaultCutAfter}, serviceStruck},
	{"answer lost", plan{serviceFault: service.FaultLoseReply}, serviceStruck},
	{"503 after it ran", plan{serviceFault: service.FaultUnavailableAfter}, serviceStruck},
	{"reply of the records lost at the outcome", plan{logFault: logLostReply, logOp: opConclusion}, keyCount},
	{"no quorum for 8 s from the outcome on", plan{logFault: logOutage, logOp: opConclusion}, keyCount},
}

// UnknownFaults names the faults that UnknownShare knows.
func UnknownFaults() []string {
	var names []string
	for _, f := range unknownFaults {
		names = append(names, f.name)
	}
	return names
}

// UnknownShare plays a fault from seeds 1 to seeds and returns the share of
// the calls that it struck whose outcome is still unknown when all faults are
// over. Faults of the records are taken as striking every key. It runs in test
// binaries alone.
func UnknownShare(fault string, a OutcomeQuery, seeds uint64) (float64, error) {
	for _, f := range unknownFaults {
		if f.name == fault {
			f.plan.asking = a
			return unknownShare(f.plan, f.struck, seeds)
		}
	}
	return 0, fmt.Errorf("no fault %q", fault)
}

func unknownShare(p plan, struck int, seeds uint64) (float64, error) {
	unknown := 0
	run := prove.InVirtualTime(func(seed uint64) error {
		last, err := play(seed, p)
		for _, e := range last[:keyCount] {
			if e.Outcome == outcome.Unknown {
				unknown++
			}
		}
		return err
	})
	for seed := uint64(1); seed <= seeds; seed++ {
		if err := run(seed); err != nil {
			return 0, err
		}
	}
	return float64(unknown) / float64(seeds*uint64(struck)), nil
}
