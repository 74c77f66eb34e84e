package keeper

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/state"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// coarseUse is a use as far as its change is worth an entry in the log.
type coarseUse struct {
	incarnation view.Incarnation
	demand      int // bit length of work in flight and queued
	finished    int // bit length of finished work
	failed      uint64
	suspect     bool
}

func coarse(u view.TargetUse) coarseUse {
	return coarseUse{
		incarnation: u.Incarnation,
		demand:      bits.Len(uint(u.InFlight + u.Queued)),
		finished:    bits.Len64(u.Finished),
		failed:      u.Failed,
		suspect:     u.Suspect,
	}
}

// proposedUse is a use as it last entered the log.
type proposedUse struct {
	coarse  coarseUse
	inForce view.Revision
}

// shareRevision tells at which revision a target's share last changed.
type shareRevision func(view.TargetID) view.Revision

// useAccount keeps the gates' latest uses of targets and tells those that
// changed enough to matter.
type useAccount struct {
	latest   map[view.GateName][]view.TargetUse
	proposed map[view.GateName]map[view.TargetID]proposedUse
	dirty    map[view.GateName]struct{}
}

func newUseAccount() *useAccount {
	return &useAccount{
		latest:   make(map[view.GateName][]view.TargetUse),
		proposed: make(map[view.GateName]map[view.TargetID]proposedUse),
		dirty:    make(map[view.GateName]struct{}),
	}
}

// note takes in a gate's uses.
func (a *useAccount) note(g view.GateName, uses []view.TargetUse) {
	if len(uses) == 0 {
		return
	}
	a.latest[g] = uses
	a.dirty[g] = struct{}{}
}

// collect returns the uses that changed enough since they were proposed, and
// those that are the first to be counted under a changed share.
func (a *useAccount) collect(shares shareRevision) []state.GateUsage {
	var out []state.GateUsage
	for g := range a.dirty {
		if changed := a.changed(g, shares); len(changed) > 0 {
			out = append(out, state.GateUsage{Gate: g, Uses: changed})
		}
	}
	clear(a.dirty)
	slices.SortFunc(out, func(x, y state.GateUsage) int { return cmp.Compare(x.Gate, y.Gate) })
	return out
}

func (a *useAccount) changed(g view.GateName, shares shareRevision) []view.TargetUse {
	before := a.proposed[g]
	now := make(map[view.TargetID]proposedUse, len(a.latest[g]))
	var changed []view.TargetUse
	for _, u := range a.latest[g] {
		old, ok := before[u.Target]
		if ok && old.coarse == coarse(u) && !old.settles(u, shares) {
			now[u.Target] = old
			continue
		}
		now[u.Target] = proposedUse{coarse: coarse(u), inForce: u.InForce}
		changed = append(changed, u)
	}
	a.proposed[g] = now
	return changed
}

// settles tells whether a use is the first one counted under the target's
// present share.
func (p proposedUse) settles(u view.TargetUse, shares shareRevision) bool {
	r := shares(u.Target)
	return p.inForce < r && u.InForce >= r
}

// reset makes all uses count as changed, after a proposal failed.
func (a *useAccount) reset() {
	clear(a.proposed)
	for g := range a.latest {
		a.dirty[g] = struct{}{}
	}
}

func (a *useAccount) forget(g view.GateName) {
	delete(a.latest, g)
	delete(a.proposed, g)
	delete(a.dirty, g)
}
