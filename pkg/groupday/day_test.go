package groupday

import (
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/group"
)

func play(t *testing.T, f Fleet, tr Trouble, o group.Options, seed uint64) Result {
	t.Helper()
	d := NewDay(f, o, seed, stopwatch())
	formed, err := d.Form()
	if err != nil {
		t.Fatal(err)
	}
	r := d.Play(tr, seed)
	t.Logf("formed in %v, down %v %v, stranded %v, loads %d wasted %d, %v an event, %v a tick, longest %v",
		formed, r.Down, r.ByCause, r.Stranded, r.LoadsDone, r.LoadsWasted, r.Cost.PerEvent(), r.Cost.PerTick(), r.Cost.Longest)
	return r
}

func stopwatch() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

func TestExpectedBeatsBaselines(t *testing.T) {
	expected := play(t, Today(), TodayTrouble(), group.Options{}, 1)
	rebuild := play(t, Today(), TodayTrouble(), group.Options{Policy: group.PolicyRebuild}, 1)
	wait := play(t, Today(), TodayTrouble(), group.Options{Policy: group.PolicyWait}, 1)
	if expected.Down >= rebuild.Down || expected.Down >= wait.Down {
		t.Errorf("down %v, rebuilding %v, waiting %v", expected.Down, rebuild.Down, wait.Down)
	}
}

func TestDayIsTheSameAgain(t *testing.T) {
	a := play(t, Today(), TodayTrouble(), group.Options{}, 2)
	b := play(t, Today(), TodayTrouble(), group.Options{}, 2)
	if a.Down != b.Down || a.LoadsDone != b.LoadsDone || a.Stranded != b.Stranded {
		t.Errorf("first %+v, then %+v", a, b)
	}
}
