package groupday

import (
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/group"
)

func runDay(t *testing.T, f Fleet, tr FaultCounts, o group.Options, seed uint64) DayResult {
	t.Helper()
	d := NewSimulation(f, o, seed, stopwatch())
	formed, err := d.FormGroups()
	if err != nil {
		t.Fatal(err)
	}
	r := d.RunDay(tr, seed)
	t.Logf("formed in %v, downtime %v %v, stranded %v, loads %d, wasted %d, %v per event, %v per tick, longest step %v",
		formed, r.Downtime, r.DowntimeByCause, r.StrandedTime, r.LoadsCompleted, r.LoadsWasted, r.Cost.MeanEventTime(), r.Cost.MeanTickTime(), r.Cost.LongestStep)
	return r
}

func stopwatch() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

func TestExpectedDowntimePolicyBeatsBaselines(t *testing.T) {
	expected := runDay(t, CurrentFleet(), CurrentFaultCounts(), group.Options{}, 1)
	rebuild := runDay(t, CurrentFleet(), CurrentFaultCounts(), group.Options{Policy: group.PolicyRebuild}, 1)
	wait := runDay(t, CurrentFleet(), CurrentFaultCounts(), group.Options{Policy: group.PolicyWait}, 1)
	if expected.Downtime >= rebuild.Downtime || expected.Downtime >= wait.Downtime {
		t.Errorf("downtime %v with the expected-downtime policy, %v with rebuild, %v with wait", expected.Downtime, rebuild.Downtime, wait.Downtime)
	}
}

func TestSameSeedGivesSameResult(t *testing.T) {
	a := runDay(t, CurrentFleet(), CurrentFaultCounts(), group.Options{}, 2)
	b := runDay(t, CurrentFleet(), CurrentFaultCounts(), group.Options{}, 2)
	if a.Downtime != b.Downtime || a.LoadsCompleted != b.LoadsCompleted || a.StrandedTime != b.StrandedTime {
		t.Errorf("results of the same seed differ: first %+v, then %+v", a, b)
	}
}
