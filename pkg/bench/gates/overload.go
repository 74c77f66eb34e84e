package gates

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/admission"
	"github.com/sesamemux/sesamemux/pkg/bench"
)

// steadyLoad returns a scenario in which no failure domain goes down.
func steadyLoad(load float64) scenario {
	s := standardScenario(load)
	s.leaveAt, s.endAt = 0, 40*time.Second
	return s
}

// contendedLoad returns a scenario of nine organisations that each send half of their share of the
// capacity, together 45% of it, and a tenth one that sends ten times its share.
func contendedLoad() scenario {
	s := steadyLoad(0.45)
	s.largeLoad = 10 * 0.45 / organisationCount * 2
	return s
}

// largeOrganisation measures the other organisations beside the large one.
func largeOrganisation() bench.Measure {
	return bench.Measure{Area: area, Name: "the others beside an organisation at ten times its share", Run: func(context.Context) ([]bench.Variant, error) {
		unfair := policy{choice: chooseRouter, unsafeAdmission: admission.Unsafe{NoFairness: true}}
		return []bench.Variant{
			{Name: "alone", Baseline: true, Figures: simulate(steadyLoad(0.45), productPolicy).figures()},
			{Name: "one queue for all", Figures: simulate(contendedLoad(), unfair).figures()},
			{Name: "sesamemux", Figures: simulate(contendedLoad(), productPolicy).figures()},
			{Name: "sesamemux, waits up to 3 s", Figures: simulate(contendedLoad(), withMaxWait(3*time.Second)).figures()},
		}, nil
	}}
}

// withMaxWait returns the product policy with a bound on the expected wait.
func withMaxWait(wait time.Duration) policy {
	p := productPolicy
	p.name = "waits up to " + wait.String()
	p.maxWait = wait
	return p
}

// duringOverload returns a scenario with a surge of load whose figures cover the surge.
func duringOverload(load float64) scenario {
	s := steadyLoad(0.6)
	s.surgeLoad, s.surgeAt, s.surgeEnd = load, 10*time.Second, 40*time.Second
	s.measureFrom, s.measureTo, s.endAt = 15*time.Second, 40*time.Second, 70*time.Second
	return s
}

// afterOverload returns the same surge, with figures that cover the time after it.
func afterOverload(load float64) scenario {
	s := duringOverload(load)
	s.measureFrom, s.measureTo = 45*time.Second, 70*time.Second
	return s
}

// overload measures goodput during and after a load of up to three times the capacity.
func overload() bench.Measure {
	return bench.Measure{Area: area, Name: "overload", Run: func(context.Context) ([]bench.Variant, error) {
		queueAll := policy{choice: chooseRouter, unsafeAdmission: admission.Unsafe{NoDeadlines: true}}
		unbounded := policy{choice: chooseLeastLoaded}
		return []bench.Variant{
			{Name: "sesamemux at 1.0", Baseline: true, Figures: simulate(duringOverload(1), productPolicy).figures()},
			{Name: "sesamemux at 1.5", Figures: simulate(duringOverload(1.5), productPolicy).figures()},
			{Name: "sesamemux at 3.0", Figures: simulate(duringOverload(3), productPolicy).figures()},
			{Name: "sesamemux at 0.6 after 3.0", Figures: simulate(afterOverload(3), productPolicy).figures()},
			{Name: "sesamemux, waits up to 3 s, at 3.0", Figures: simulate(duringOverload(3), withMaxWait(3*time.Second)).figures()},
			{Name: "sesamemux, waits up to 3 s, at 0.6 after 3.0", Figures: simulate(afterOverload(3), withMaxWait(3*time.Second)).figures()},
			{Name: "no deadlines at 3.0", Figures: simulate(duringOverload(3), queueAll).figures()},
			{Name: "least loaded by report at 3.0", Figures: simulate(duringOverload(3), unbounded).figures()},
			{Name: "least loaded by report at 0.6 after 3.0", Figures: simulate(afterOverload(3), unbounded).figures()},
		}, nil
	}}
}
