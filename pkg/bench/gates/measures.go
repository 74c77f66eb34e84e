package gates

import (
	"context"
	"fmt"
	"time"

	"github.com/sesamemux/sesamemux/pkg/bench"
	"github.com/sesamemux/sesamemux/pkg/permit"
)

const area = "gates"

// Measures returns the measures of the gates' decisions.
func Measures() []bench.Measure {
	return []bench.Measure{
		domainMove(0.60),
		domainMove(0.85),
		cacheHits(),
		sharing(),
		largeOrganisation(),
		overload(),
		allocatorCost(),
		overhead("overhead, tokens as fast as they go", 4000, 0),
		overhead("overhead, a token each 25 ms", 1280, 25*time.Millisecond),
		cores(4000),
	}
}

func compare(name string, s scenario, policies ...policy) bench.Measure {
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

var product = policy{name: "sesamemux", choice: chooseRouter}

// domainMove is a domain of three leaving and returning.
func domainMove(load float64) bench.Measure {
	return compare(fmt.Sprintf("one of three domains leaves and returns at %.0f%% load", 100*load), standard(load),
		policy{name: "round robin", baseline: true, choice: chooseRoundRobin},
		policy{name: "least loaded by report", choice: chooseLeast},
		policy{name: "no ramp", choice: chooseRouter, permits: permit.Options{Unsafe: permit.Unsafe{SkipRamp: true}}},
		policy{name: "equal shares", choice: chooseRouter, permits: permit.Options{Sharing: permit.SharingEqual}},
		patient(3*time.Second),
		product,
	)
}

// cacheHits compares hints with random choice.
func cacheHits() bench.Measure {
	s := standard(0.6)
	s.leave = 0
	return compare("prefix hints", s, policy{name: "random choice", baseline: true, choice: chooseRandom}, product)
}

// sharing compares the ways of sharing permits when one gate gets half of all
// requests.
func sharing() bench.Measure {
	s := standard(0.7)
	s.leave = 0
	s.hot = 0.5
	return compare("ways of sharing permits, one gate gets half of all requests", s,
		policy{name: "equal", baseline: true, choice: chooseRouter, permits: permit.Options{Sharing: permit.SharingEqual}},
		policy{name: "one owner", choice: chooseRouter, permits: permit.Options{Sharing: permit.SharingOwner}},
		policy{name: "by demand", choice: chooseRouter, permits: permit.Options{Sharing: permit.SharingDemand}},
	)
}
