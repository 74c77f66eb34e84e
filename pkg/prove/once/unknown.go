package once

import (
	"fmt"

	"github.com/sesamemux/sesamemux/pkg/fake/service"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/prove"
)

// OutcomeQuery is whether a service can be asked for the outcome of a call.
type OutcomeQuery string

// The kinds of outcome queries.
const (
	QueryUnsupported OutcomeQuery = "service can't be asked"
	QuerySupported   OutcomeQuery = "service is asked"
	QueryBarsKey     OutcomeQuery = "service is asked and bars the key"
)

// OutcomeQueries returns all kinds of outcome queries.
func OutcomeQueries() []OutcomeQuery {
	return []OutcomeQuery{QueryUnsupported, QuerySupported, QueryBarsKey}
}

// unknownFaults holds the faults for which unknown outcomes are counted.
var unknownFaults = []struct {
	name     string
	plan     plan
	affected int // number of calls affected
}{
	{"gate killed after the intent", plan{gateFault: killGate, step: afterIntent}, 1},
	{"gate killed after the request", plan{gateFault: killGate, step: afterRequest}, 1},
	{"gate killed before the outcome is recorded", plan{gateFault: killGate, step: beforeConclusion}, 1},
	{"gate frozen after the request", plan{gateFault: freezeGate, step: afterRequest}, 1},
	{"host leaves before the first byte", plan{gateFault: hostLeaves, step: beforeDial}, 1},
	{"service cut before it runs", plan{serviceFault: service.FaultCutBefore}, faultsOnAllServices},
	{"service cut after it ran", plan{serviceFault: service.FaultCutAfter}, faultsOnAllServices},
	{"answer lost", plan{serviceFault: service.FaultLoseReply}, faultsOnAllServices},
	{"503 after it ran", plan{serviceFault: service.FaultUnavailableAfter}, faultsOnAllServices},
	{"reply of the records lost at the outcome", plan{logFault: logLostReply, logOp: opConclusion}, keyCount},
	{"no quorum for 8 s from the outcome on", plan{logFault: logOutage, logOp: opConclusion}, keyCount},
}

// UnknownFaults returns the names of the faults that UnknownShare accepts.
func UnknownFaults() []string {
	var names []string
	for _, f := range unknownFaults {
		names = append(names, f.name)
	}
	return names
}

// UnknownShare injects a fault in runs with seeds 1 to seeds. It returns the share of
// the affected calls whose outcome is still unknown after all faults have ended.
// Faults of the records count as affecting every key. It works only in test binaries.
func UnknownShare(fault string, a OutcomeQuery, seeds uint64) (float64, error) {
	for _, f := range unknownFaults {
		if f.name == fault {
			f.plan.outcomeQuery = a
			return unknownShare(f.plan, f.affected, seeds)
		}
	}
	return 0, fmt.Errorf("unknown fault %q", fault)
}

func unknownShare(p plan, affected int, seeds uint64) (float64, error) {
	unknown := 0
	run := prove.InVirtualTime(func(seed uint64) error {
		last, err := runPlan(seed, p)
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
	return float64(unknown) / float64(seeds*uint64(affected)), nil
}
