package keeper

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// maxCountAge is how old a count may be when it arrives. Together with its way
// into the log it stays below the allocator's report lag.
const maxCountAge = time.Second

// countAccount gathers targets' own counts where permits of a lost gate are held
// back.
type countAccount struct {
	wanted []view.TargetID
	latest map[view.TargetID]control.TargetCount
}

func newCountAccount() *countAccount {
	return &countAccount{latest: make(map[view.TargetID]control.TargetCount)}
}

// want sets the targets whose counts gates are asked for.
func (a *countAccount) want(targets []view.TargetID) {
	a.wanted = targets
}

// note takes in counts that are wanted and not too old.
func (a *countAccount) note(counts []control.TargetCount) {
	for _, c := range counts {
		if time.Duration(c.AgeMillis)*time.Millisecond > maxCountAge || !slices.Contains(a.wanted, c.Target) {
			continue
		}
		a.latest[c.Target] = c
	}
}

// collect returns the counts since the last call.
func (a *countAccount) collect() []permit.TargetReported {
	var out []permit.TargetReported
	for _, c := range a.latest {
		out = append(out, permit.TargetReported{Target: c.Target, Incarnation: c.Incarnation, Running: c.Running})
	}
	clear(a.latest)
	slices.SortFunc(out, func(x, y permit.TargetReported) int { return cmp.Compare(x.Target, y.Target) })
	return out
}
