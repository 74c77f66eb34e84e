package gates

import (
	"context"
	"fmt"
	"time"

	"github.com/sesamemux/sesamemux/pkg/bench"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// allocatorSize is a number of targets and gates.
type allocatorSize struct{ targets, gates int }

// allocatorCost measures the time of the permit allocator's steps at several sizes.
func allocatorCost() bench.Measure {
	return bench.Measure{Area: area, Name: "permit allocator by size", Run: func(context.Context) ([]bench.Variant, error) {
		var list []bench.Variant
		for _, s := range []allocatorSize{{50, 9}, {300, 34}, {3000, 340}} {
			v, err := s.measure()
			if err != nil {
				return nil, err
			}
			v.Baseline = len(list) == 0
			list = append(list, v)
		}
		return list, nil
	}}
}

// usesPerGate is the number of targets to which one gate sends requests.
const usesPerGate = 50

func (s allocatorSize) measure() (bench.Variant, error) {
	a := permit.NewAllocator(permit.Options{})
	now, rev := view.Time(time.Hour), view.Revision(0)
	changes := 0
	step := func(ev permit.Event) {
		rev++
		changes += len(a.Step(now, rev, ev))
	}
	for g := range s.gates {
		step(permit.GateSeen{Gate: gateName(g), Incarnation: 1})
	}
	targetsUp := timeTaken(func() {
		for t := range s.targets {
			step(permit.TargetUp{Target: targetID(t), Incarnation: 1, Max: 24, Cold: 4, RampTime: time.Second})
		}
	})
	changes = 0
	const rounds = 4
	reports := timeTaken(func() {
		for n := range rounds {
			now += view.Time(time.Second)
			for g := range s.gates {
				step(permit.UsageReported{Gate: gateName(g), Uses: s.usageReport(g, n, rev)})
			}
		}
	})
	reportChanges := changes
	ticks := timeTaken(func() {
		for range rounds {
			now += view.Time(time.Second)
			step(permit.Ticked{})
		}
	})
	snapshot, err := a.Snapshot()
	if err != nil {
		return bench.Variant{}, err
	}
	return bench.Variant{
		Name: fmt.Sprintf("%d targets, %d gates", s.targets, s.gates),
		Figures: []bench.Figure{
			{Name: "target comes up", Value: microsPerItem(targetsUp, s.targets), Unit: "us"},
			{Name: "report of a gate", Value: microsPerItem(reports, rounds*s.gates), Unit: "us"},
			{Name: "tick", Value: microsPerItem(ticks, rounds), Unit: "us"},
			{Name: "changes per report", Value: ratio(reportChanges, rounds*s.gates), Unit: ""},
			{Name: "snapshot", Value: float64(len(snapshot)) / 1024, Unit: "KiB"},
		},
	}, nil
}

// usageReport returns a gate's usage report: requests in flight on its part of the targets, and a few
// queued.
func (s allocatorSize) usageReport(g, round int, rev view.Revision) []view.TargetUse {
	n := min(usesPerGate, s.targets)
	list := make([]view.TargetUse, 0, n)
	for i := range n {
		list = append(list, view.TargetUse{
			Target:      targetID((g*s.targets/s.gates + i) % s.targets),
			Incarnation: 1,
			InForce:     rev,
			InFlight:    (g + i) % 3,
			Queued:      (g + i + round) % 10 / 9,
			Finished:    uint64(10 * round),
		})
	}
	return list
}

func gateName(i int) view.GateName { return view.GateName(fmt.Sprintf("gate-%03d", i)) }

func targetID(i int) view.TargetID { return view.TargetID(fmt.Sprintf("group/m-%04d", i)) }

func timeTaken(f func()) time.Duration {
	began := time.Now()
	f()
	return time.Since(began)
}

func microsPerItem(d time.Duration, n int) float64 { return float64(d.Microseconds()) / float64(n) }
