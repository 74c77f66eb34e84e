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
	Up          bool // false: only its orphans are kept
	Max         int
	Cold        int
	RampTime    time.Duration
	Bound       int
	ColdResets  int           `json:"Falls"`
	ResetAt     view.Revision `json:"FellAt"` // revision of the last reset to cold, or of the start
	StepSince   view.Time     // time at which the bound got its current value
	StepProof   int           // successful requests since StepSince
	CheckedAt   view.Time     `json:"LookedAt"` // time of the last check of the division
	Holdings    []holding     // sorted by gate
	Orphans     []orphan

	ordered   []view.GateName // cache of Allocator.gateOrder; not part of the state
	orderedAt uint64
}

// holding returns a gate's record, adding an empty one if needed.
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

// free returns the part of the bound that no gate may use.
func (t *target) free() int {
	n := t.Bound - orphanedPermits(t.Orphans)
	for i := range t.Holdings {
		n -= t.Holdings[i].Exposed
	}
	return n
}

// share returns the target's entry in the view.
func (t *target) share() view.Share {
	s := view.Share{Target: t.ID, Incarnation: t.Incarnation, Bound: t.Bound, Cold: t.Cold, ColdResets: t.ColdResets}
	for i := range t.Holdings {
		h := &t.Holdings[i]
		if h.Permits == 0 && h.Exposed == 0 && !t.hasOrphan(h.Gate) {
			continue
		}
		s.Gates = append(s.Gates, view.GateShare{Gate: h.Gate, Permits: h.Permits})
	}
	for _, o := range t.Orphans {
		s.Gates = addGate(s.Gates, o.Gate)
	}
	return s
}

func (t *target) hasOrphan(g view.GateName) bool {
	return slices.ContainsFunc(t.Orphans, func(o orphan) bool { return o.Gate == g })
}

// addGate adds a gate without permits to a share, so that it reports its work.
func addGate(shares []view.GateShare, g view.GateName) []view.GateShare {
	i, ok := slices.BinarySearchFunc(shares, g, func(s view.GateShare, g view.GateName) int {
		return cmp.Compare(s.Gate, g)
	})
	if ok {
		return shares
	}
	return slices.Insert(shares, i, view.GateShare{Gate: g})
}

// orphanHolding converts a gate's exposure into an orphan.
func (t *target) orphanHolding(o orphan) bool {
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

// expireOrphans drops the orphans whose work can no longer run.
func (t *target) expireOrphans(now view.Time, limit time.Duration) bool {
	n := len(t.Orphans)
	t.Orphans = slices.DeleteFunc(t.Orphans, func(o orphan) bool {
		return now-o.Since >= view.Time(limit)
	})
	return len(t.Orphans) != n
}

// prune removes the record of a gate that has nothing on the target.
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
