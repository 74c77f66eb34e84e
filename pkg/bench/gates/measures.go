package gates

import (
	"context"
	"fmt"
	"time"

	"github.com/sesamemux/sesamemux/pkg/bench"
	"github.com/sesamemux/sesamemux/pkg/permit"
)

const area = "gates"

// Measures returns the measures of this area.
func Measures() []bench.Measure {
	return []bench.Measure{
		domainLoss(0.60),
		domainLoss(0.85),
		prefixHints(),
		permitSharing(),
		largeOrganisation(),
		overload(),
		allocatorCost(),
		overhead("overhead, tokens as fast as they go", 4000, 0),
		overhead("overhead, a token each 25 ms", 1280, 25*time.Millisecond),
		coreScaling(4000),
	}
}

func comparePolicies(name string, s scenario, policies ...policy) bench.Measure {
	return bench.Measure{Area: area, Name: name, Run: func(ctx context.Context) ([]bench.Variant, error) {
		var list []bench.Variant
		for _, p := range policies {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			list = append(list, bench.Variant{Name: p.name, Baseline: p.baseline, Figures: simulate(s, p).figures()})
		}
		return list, nil
	}}
}

var productPolicy = policy{name: "sesamemux", choice: chooseRouter}

// domainLoss compares policies while one of three failure domains goes down and returns.
func domainLoss(load float64) bench.Measure {
	return comparePolicies(fmt.Sprintf("one of three domains leaves and returns at %.0f%% load", 100*load), standardScenario(load),
		policy{name: "round robin", baseline: true, choice: chooseRoundRobin},
		policy{name: "least loaded by report", choice: chooseLeastLoaded},
		policy{name: "no ramp", choice: chooseRouter, permits: permit.Options{Unsafe: permit.Unsafe{SkipRamp: true}}},
		policy{name: "equal shares", choice: chooseRouter, permits: permit.Options{Sharing: permit.SharingEqual}},
		withMaxWait(3*time.Second),
		productPolicy,
	)
}

// prefixHints compares routing by prefix hints with random choice.
func prefixHints() bench.Measure {
	s := standardScenario(0.6)
	s.leaveAt = 0
	return comparePolicies("prefix hints", s, policy{name: "random choice", baseline: true, choice: chooseRandom}, productPolicy)
}

// permitSharing compares the ways of sharing permits among gates when one gate receives half of all
// requests.
func permitSharing() bench.Measure {
	s := standardScenario(0.7)
	s.leaveAt = 0
	s.firstGateShare = 0.5
	return comparePolicies("ways of sharing permits, one gate gets half of all requests", s,
		policy{name: "equal", baseline: true, choice: chooseRouter, permits: permit.Options{Sharing: permit.SharingEqual}},
		policy{name: "one owner", choice: chooseRouter, permits: permit.Options{Sharing: permit.SharingOwner}},
		policy{name: "by demand", choice: chooseRouter, permits: permit.Options{Sharing: permit.SharingDemand}},
	)
}
