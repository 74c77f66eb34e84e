package keeper

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// maxCountAge is the greatest age of a count on arrival. With the time to commit it added, a count
// stays younger than the report lag that the permit allocator allows for.
const maxCountAge = time.Second

// countTracker collects the targets' own counts of their requests. They are needed for targets at
// which permits of a lost gate are withheld.
type countTracker struct {
	wanted []view.TargetID
	latest map[view.TargetID]control.TargetCount
}

func newCountTracker() *countTracker {
	return &countTracker{latest: make(map[view.TargetID]control.TargetCount)}
}

// setWanted sets the targets whose counts gates should report.
func (t *countTracker) setWanted(targets []view.TargetID) {
	t.wanted = targets
}

// record keeps the counts that are wanted and not too old.
func (t *countTracker) record(counts []control.TargetCount) {
	for _, c := range counts {
		if time.Duration(c.AgeMillis)*time.Millisecond > maxCountAge || !slices.Contains(t.wanted, c.Target) {
			continue
		}
		t.latest[c.Target] = c
	}
}

// collect returns the counts recorded since the last call.
func (t *countTracker) collect() []permit.TargetReported {
	var out []permit.TargetReported
	for _, c := range t.latest {
		out = append(out, permit.TargetReported{Target: c.Target, Incarnation: c.Incarnation, Running: c.Running})
	}
	clear(t.latest)
	slices.SortFunc(out, func(x, y permit.TargetReported) int { return cmp.Compare(x.Target, y.Target) })
	return out
}
