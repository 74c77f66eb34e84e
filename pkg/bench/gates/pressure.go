package gates

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/admission"
	"github.com/sesamemux/sesamemux/pkg/bench"
)

// steady is a scenario without a domain that moves.
func steady(load float64) scenario {
	s := standard(load)
	s.leave, s.end = 0, 40*time.Second
	return s
}

// contended is nine organisations, each at its share of half the capacity,
// with a tenth that sends ten times its share.
func contended() scenario {
	s := steady(0.45)
	s.large = 10 * 0.45 / organisations * 2
	return s
}

// largeOrganisation shows the figures of the others.
func largeOrganisation() bench.Measure {
	return bench.Measure{Area: area, Name: "the others beside an organisation at ten times its share", Run: func(context.Context) ([]bench.Variant, error) {
		unfair := policy{choice: chooseRouter, admit: admission.Unsafe{NoFairness: true}}
		return []bench.Variant{
			{Name: "alone", Baseline: true, Figures: simulate(steady(0.45), product).figures()},
			{Name: "one queue for all", Figures: simulate(contended(), unfair).figures()},
			{Name: "sesamemux", Figures: simulate(contended(), product).figures()},
			{Name: "sesamemux, waits up to 3 s", Figures: simulate(contended(), patient(3*time.Second)).figures()},
		}, nil
	}}
}

// patient is the product with a bound on the expected wait.
func patient(wait time.Duration) policy {
	p := product
	p.name = "waits up to " + wait.String()
	p.wait = wait
	return p
}

// overloaded is a surge of load, of which the figures count that part.
func overloaded(load float64) scenario {
	s := steady(0.6)
	s.surge, s.surgeAt, s.surgeEnd = load, 10*time.Second, 40*time.Second
	s.from, s.to, s.end = 15*time.Second, 40*time.Second, 70*time.Second
	return s
}

// afterwards is the same surge, of which the figures count what comes after.
func afterwards(load float64) scenario {
	s := overloaded(load)
	s.from, s.to = 45*time.Second, 70*time.Second
	return s
}

// overload shows goodput at and after up to three times the capacity.
func overload() bench.Measure {
	return bench.Measure{Area: area, Name: "overload", Run: func(context.Context) ([]bench.Variant, error) {
		queueAll := policy{choice: chooseRouter, admit: admission.Unsafe{NoDeadlines: true}}
		unbounded := policy{choice: chooseLeast}
		return []bench.Variant{
			{Name: "sesamemux at 1.0", Baseline: true, Figures: simulate(overloaded(1), product).figures()},
			{Name: "sesamemux at 1.5", Figures: simulate(overloaded(1.5), product).figures()},
			{Name: "sesamemux at 3.0", Figures: simulate(overloaded(3), product).figures()},
			{Name: "sesamemux at 0.6 after 3.0", Figures: simulate(afterwards(3), product).figures()},
			{Name: "sesamemux, waits up to 3 s, at 3.0", Figures: simulate(overloaded(3), patient(3*time.Second)).figures()},
			{Name: "sesamemux, waits up to 3 s, at 0.6 after 3.0", Figures: simulate(afterwards(3), patient(3*time.Second)).figures()},
			{Name: "no deadlines at 3.0", Figures: simulate(overloaded(3), queueAll).figures()},
			{Name: "least loaded by report at 3.0", Figures: simulate(overloaded(3), unbounded).figures()},
			{Name: "least loaded by report at 0.6 after 3.0", Figures: simulate(afterwards(3), unbounded).figures()},
		}, nil
	}}
}
