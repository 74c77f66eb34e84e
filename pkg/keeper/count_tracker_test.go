package keeper

import (
	"testing"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/view"
)

func TestCountTrackerDropsUnwantedAndStaleCounts(t *testing.T) {
	a := newCountTracker()
	a.setWanted([]view.TargetID{"group/a-1", "group/a-2"})
	a.record([]control.TargetCount{
		{Target: "group/a-1", Incarnation: 7, Running: 2, AgeMillis: 300},
		{Target: "group/a-2", Incarnation: 8, Running: 1, AgeMillis: maxCountAge.Milliseconds() + 1},
		{Target: "group/a-3", Incarnation: 9, Running: 1},
	})
	got := a.collect()
	want := permit.TargetReported{Target: "group/a-1", Incarnation: 7, Running: 2}
	if len(got) != 1 || got[0] != want {
		t.Fatalf("collected %+v, want only %+v", got, want)
	}
	if again := a.collect(); len(again) != 0 {
		t.Fatalf("second collect returned %+v, want nothing", again)
	}
}
