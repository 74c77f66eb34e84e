package groups

import (
	"fmt"
	"time"

	"github.com/sesamemux/sesamemux/pkg/bench"
	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/groupday"
)

const (
	todayDays = 30
	tenthDays = 3
	// targetSpares is the number of spares in each fabric domain of the
	// target fleet where it is not what is measured.
	targetSpares = 2
)

// Measures gives the measures of groups.
func Measures() []bench.Measure {
	return []bench.Measure{
		measure("repair policy, today's fleet, 30 days", days(groupday.CurrentFaultCounts(), todayDays, policies(groupday.CurrentFleet()))),
		measure("repair policy, target fleet, one day", days(groupday.TargetFaultCounts(), 1, policies(groupday.TargetFleet(targetSpares)))),
		measure("spares in a fabric domain, a tenth of the target", days(groupday.TenthOfTargetFaultCounts(), tenthDays, spares())),
		measure("wait for a silent member, a tenth of the target", days(groupday.TenthOfTargetFaultCounts(), tenthDays, graces())),
		measure("load order while forming", loadOrder),
		measure("failure domain out and back", domainMove),
		measure("rollout", rollout),
		measure("cost of decisions, target fleet", cost),
	}
}

func measure(name string, run runner) bench.Measure {
	return bench.Measure{Area: "groups", Name: name, Run: run}
}

// policies gives the repair policies on one fleet.
func policies(f groupday.Fleet) []variant {
	return []variant{
		{name: "expected downtime", fleet: f},
		{name: "expected downtime, cold spares", fleet: f, options: group.Options{ColdSpares: true}},
		{name: "dissolve and rebuild at once", baseline: true, fleet: f, options: group.Options{Policy: group.PolicyRebuild}},
		{name: "wait always", fleet: f, options: group.Options{Policy: group.PolicyWait}},
	}
}

// spares gives fleets of equally many hosts with 0 to 4 spares in each fabric
// domain.
func spares() []variant {
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

// graces gives waits for silent members.
func graces() []variant {
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
