package permit

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// target is the allocator's state of one target.
type target struct {
	ID          view.TargetID
	Incarnation view.Incarnation
	Up          bool // false: only its orphans are remembered
	Max         int
	Cold        int
	RampTime    time.Duration
	Bound       int
	Falls       int
	FellAt      view.Revision // revision of the last fall, or of the start
	StepSince   view.Time     // when the bound reached its value
	StepProof   int           // requests finished well since then
	LookedAt    view.Time     // when the division was last looked at
	Holdings    []holding     // sorted by gate
	Orphans     []orphan

	ordered   []view.GateName // see Allocator.order; not part of the state
	orderedAt uint64
}

// holding returns a gate's part, adding an empty one if needed.
func (t *target) holding(g view.GateName) *holding {
	i, ok := t.find(g)
	if !ok {
		t.Holdings = slices.Insert(t.Holdings, i, holding{Gate: g})
	}
	return &t.Holdings[i]
}

func (t *target) find(g view.GateName) (int, bool) {
	return slices.BinarySearchFunc(t.Holdings, g, func(h holding, g view.GateName) int {
		return cmp.Compare(h.Gate, g)
	})
}

// free is the part of the bound that nobody may use.
func (t *target) free() int {
	n := t.Bound - orphanSum(t.Orphans)
	for i := range t.Holdings {
		n -= t.Holdings[i].Exposed
	}
	return n
}

// share is what the view shows of the target.
func (t *target) share() view.Share {
	s := view.Share{Target: t.ID, Incarnation: t.Incarnation, Bound: t.Bound, Cold: t.Cold, ColdResets: t.Falls}
	for i := range t.Holdings {
		h := &t.Holdings[i]
		if h.Permits == 0 && h.Exposed == 0 && !t.orphaned(h.Gate) {
			continue
		}
		s.Gates = append(s.Gates, view.GateShare{Gate: h.Gate, Permits: h.Permits})
	}
	for _, o := range t.Orphans {
		s.Gates = list(s.Gates, o.Gate)
	}
	return s
}

func (t *target) orphaned(g view.GateName) bool {
	return slices.ContainsFunc(t.Orphans, func(o orphan) bool { return o.Gate == g })
}

// list adds a gate without permits, so that it reports its work.
func list(shares []view.GateShare, g view.GateName) []view.GateShare {
	i, ok := slices.BinarySearchFunc(shares, g, func(s view.GateShare, g view.GateName) int {
		return cmp.Compare(s.Gate, g)
	})
	if ok {
		return shares
	}
	return slices.Insert(shares, i, view.GateShare{Gate: g})
}

// abandon turns the exposure of a gate into an orphan part.
func (t *target) abandon(o orphan) bool {
	i, ok := t.find(o.Gate)
	if !ok {
		return false
	}
	h := t.Holdings[i]
	t.Holdings = slices.Delete(t.Holdings, i, i+1)
	if h.Exposed == 0 {
		return false
	}
	o.Permits = h.Exposed
	t.Orphans = append(t.Orphans, o)
	return true
}

// expireOrphans drops orphan parts that can't run any more.
func (t *target) expireOrphans(now view.Time, limit time.Duration) bool {
	n := len(t.Orphans)
	t.Orphans = slices.DeleteFunc(t.Orphans, func(o orphan) bool {
		return now-o.Since >= view.Time(limit)
	})
	return len(t.Orphans) != n
}

// prune forgets a gate that has nothing on the target.
func (t *target) prune(g view.GateName) {
	i, ok := t.find(g)
	if !ok {
		return
	}
	h := &t.Holdings[i]
	if h.Permits == 0 && h.Exposed == 0 && h.demand() == 0 {
		t.Holdings = slices.Delete(t.Holdings, i, i+1)
	}
}
