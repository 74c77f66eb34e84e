package keeper

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/state"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// coarseUse is a use rounded so that only significant changes of it are proposed to the log.
type coarseUse struct {
	incarnation view.Incarnation
	demand      int // bit length of the number of requests in flight and queued
	finished    int // bit length of the number of finished requests
	failed      uint64
	suspect     bool
}

func coarsen(u view.TargetUse) coarseUse {
	return coarseUse{
		incarnation: u.Incarnation,
		demand:      bits.Len(uint(u.InFlight + u.Queued)),
		finished:    bits.Len64(u.Finished),
		failed:      u.Failed,
		suspect:     u.Suspect,
	}
}

// proposedUse is a use as last proposed to the log.
type proposedUse struct {
	coarse  coarseUse
	inForce view.Revision
}

// shareRevision returns the revision at which a target's share last changed.
type shareRevision func(view.TargetID) view.Revision

// useTracker keeps the gates' latest uses of targets and finds those that have changed
// significantly.
type useTracker struct {
	latest   map[view.GateName][]view.TargetUse
	proposed map[view.GateName]map[view.TargetID]proposedUse
	dirty    map[view.GateName]struct{}
}

func newUseTracker() *useTracker {
	return &useTracker{
		latest:   make(map[view.GateName][]view.TargetUse),
		proposed: make(map[view.GateName]map[view.TargetID]proposedUse),
		dirty:    make(map[view.GateName]struct{}),
	}
}

// record replaces a gate's latest uses. An empty list leaves them as they are.
func (t *useTracker) record(g view.GateName, uses []view.TargetUse) {
	if len(uses) == 0 {
		return
	}
	t.latest[g] = uses
	t.dirty[g] = struct{}{}
}

// collect returns the uses that have changed significantly since they were proposed, and those that
// are the first under a changed share.
func (t *useTracker) collect(shares shareRevision) []state.GateUsage {
	var out []state.GateUsage
	for g := range t.dirty {
		if changed := t.changed(g, shares); len(changed) > 0 {
			out = append(out, state.GateUsage{Gate: g, Uses: changed})
		}
	}
	clear(t.dirty)
	slices.SortFunc(out, func(x, y state.GateUsage) int { return cmp.Compare(x.Gate, y.Gate) })
	return out
}

func (t *useTracker) changed(g view.GateName, shares shareRevision) []view.TargetUse {
	before := t.proposed[g]
	now := make(map[view.TargetID]proposedUse, len(t.latest[g]))
	var changed []view.TargetUse
	for _, u := range t.latest[g] {
		old, ok := before[u.Target]
		if ok && old.coarse == coarsen(u) && !old.firstUnderShare(u, shares) {
			now[u.Target] = old
			continue
		}
		now[u.Target] = proposedUse{coarse: coarsen(u), inForce: u.InForce}
		changed = append(changed, u)
	}
	t.proposed[g] = now
	return changed
}

// firstUnderShare reports whether a use is the first one from a gate that has the target's current
// share in force.
func (p proposedUse) firstUnderShare(u view.TargetUse, shares shareRevision) bool {
	r := shares(u.Target)
	return p.inForce < r && u.InForce >= r
}

// markAllChanged makes collect return all uses again, after a failed proposal.
func (t *useTracker) markAllChanged() {
	clear(t.proposed)
	for g := range t.latest {
		t.dirty[g] = struct{}{}
	}
}

func (t *useTracker) remove(g view.GateName) {
	delete(t.latest, g)
	delete(t.proposed, g)
	delete(t.dirty, g)
}
