package groups

import (
	"fmt"
	"time"

	"github.com/sesamemux/sesamemux/pkg/bench"
	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/groupday"
)

const (
	currentFleetDays  = 30
	tenthOfTargetDays = 3
	// targetSpares is the number of spares in each fabric domain of the target fleet, except in
	// the measure that varies it.
	targetSpares = 2
)

// Measures returns the measures of this area.
func Measures() []bench.Measure {
	return []bench.Measure{
		measure("repair policy, today's fleet, 30 days", simulateDays(groupday.CurrentFaultCounts(), currentFleetDays, repairPolicies(groupday.CurrentFleet()))),
		measure("repair policy, target fleet, one day", simulateDays(groupday.TargetFaultCounts(), 1, repairPolicies(groupday.TargetFleet(targetSpares)))),
		measure("spares in a fabric domain, a tenth of the target", simulateDays(groupday.TenthOfTargetFaultCounts(), tenthOfTargetDays, spareCounts())),
		measure("wait for a silent member, a tenth of the target", simulateDays(groupday.TenthOfTargetFaultCounts(), tenthOfTargetDays, silenceGraces())),
		measure("load order while forming", loadOrder),
		measure("failure domain out and back", domainDrain),
		measure("rollout", rollout),
		measure("cost of decisions, target fleet", decisionCost),
	}
}

func measure(name string, run runFunc) bench.Measure {
	return bench.Measure{Area: "groups", Name: name, Run: run}
}

// repairPolicies returns the repair policies, each on the given fleet.
func repairPolicies(f groupday.Fleet) []variant {
	return []variant{
		{name: "expected downtime", fleet: f},
		{name: "expected downtime, cold spares", fleet: f, options: group.Options{ColdSpares: true}},
		{name: "dissolve and rebuild at once", baseline: true, fleet: f, options: group.Options{Policy: group.PolicyRebuild}},
		{name: "wait always", fleet: f, options: group.Options{Policy: group.PolicyWait}},
	}
}

// spareCounts returns fleets of about the same number of hosts with 0 to 4 spares in each fabric
// domain, cold and with weights loaded.
func spareCounts() []variant {
	var all []variant
	for _, n := range []int{0, 1, 2, 4} {
		f := groupday.TenthOfTargetFleet(n)
		all = append(all,
			variant{name: fmt.Sprintf("%d, cold", n), baseline: n == 0, fleet: f, options: group.Options{ColdSpares: true}},
			variant{name: fmt.Sprintf("%d, with weights", n), fleet: f},
		)
	}
	return all
}

// silenceGraces returns variants of the time to wait for a silent member: learned, none and fixed.
func silenceGraces() []variant {
	f := groupday.TenthOfTargetFleet(targetSpares)
	all := []variant{
		{name: "learned", fleet: f},
		{name: "none", baseline: true, fleet: f, options: group.Options{FixedGrace: -1}},
	}
	for _, wait := range []time.Duration{2, 5, 10, 30, 60} {
		wait *= time.Second
		all = append(all, variant{name: wait.String(), fleet: f, options: group.Options{FixedGrace: wait}})
	}
	return all
}
