package groupday

import (
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/group"
)

func play(t *testing.T, f Fleet, tr FaultCounts, o group.Options, seed uint64) DayResult {
	t.Helper()
	d := NewSimulation(f, o, seed, stopwatch())
	formed, err := d.FormGroups()
	if err != nil {
		t.Fatal(err)
	}
	r := d.RunDay(tr, seed)
	t.Logf("formed in %v, down %v %v, stranded %v, loads %d wasted %d, %v an event, %v a tick, longest %v",
		formed, r.Downtime, r.DowntimeByCause, r.StrandedTime, r.LoadsCompleted, r.LoadsWasted, r.Cost.MeanEventTime(), r.Cost.MeanTickTime(), r.Cost.LongestStep)
	return r
}

func stopwatch() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

func TestExpectedBeatsBaselines(t *testing.T) {
	expected := play(t, CurrentFleet(), CurrentFaultCounts(), group.Options{}, 1)
	rebuild := play(t, CurrentFleet(), CurrentFaultCounts(), group.Options{Policy: group.PolicyRebuild}, 1)
	wait := play(t, CurrentFleet(), CurrentFaultCounts(), group.Options{Policy: group.PolicyWait}, 1)
	if expected.Downtime >= rebuild.Downtime || expected.Downtime >= wait.Downtime {
		t.Errorf("down %v, rebuilding %v, waiting %v", expected.Downtime, rebuild.Downtime, wait.Downtime)
	}
}

func TestDayIsTheSameAgain(t *testing.T) {
	a := play(t, CurrentFleet(), CurrentFaultCounts(), group.Options{}, 2)
	b := play(t, CurrentFleet(), CurrentFaultCounts(), group.Options{}, 2)
	if a.Downtime != b.Downtime || a.LoadsCompleted != b.LoadsCompleted || a.StrandedTime != b.StrandedTime {
		t.Errorf("first %+v, then %+v", a, b)
	}
}
