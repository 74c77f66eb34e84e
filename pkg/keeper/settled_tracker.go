package keeper

import (
	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/state"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// settledReport is a gate's latest report of the draining groups on which it has no work.
type settledReport struct {
	inForce view.Revision
	groups  map[view.GroupID]struct{}
}

// settledTracker finds the draining groups on which no gate has work left. A report counts only if
// the gate had the draining in force at the time: an earlier report could be followed by new work.
type settledTracker struct {
	reports  map[membership.Session]settledReport
	proposed map[view.GroupID]view.Revision // revision since which each proposed group drains
}

func newSettledTracker() *settledTracker {
	return &settledTracker{
		reports:  make(map[membership.Session]settledReport),
		proposed: make(map[view.GroupID]view.Revision),
	}
}

func (t *settledTracker) record(s membership.Session, inForce view.Revision, settled []view.GroupID) {
	r := settledReport{inForce: inForce, groups: make(map[view.GroupID]struct{}, len(settled))}
	for _, g := range settled {
		r.groups[g] = struct{}{}
	}
	t.reports[s] = r
}

func (t *settledTracker) remove(s membership.Session) {
	delete(t.reports, s)
}

// retry makes collect return groups again whose observation was not committed.
func (t *settledTracker) retry(groups []state.SettledGroup) {
	for _, g := range groups {
		delete(t.proposed, g.Group)
	}
}

// collect returns the draining groups that every holder of a lease has reported as settled and
// that were not returned before.
func (t *settledTracker) collect(draining []state.SettledGroup, since map[view.GroupID]view.Revision, barrier view.Revision, holders []membership.Session) []state.SettledGroup {
	for id, at := range t.proposed {
		if since[id] != at {
			delete(t.proposed, id)
		}
	}
	var out []state.SettledGroup
	for _, g := range draining {
		if _, done := t.proposed[g.Group]; done || since[g.Group] > barrier {
			continue
		}
		if !t.settledAtAll(g.Group, since[g.Group], holders) {
			continue
		}
		t.proposed[g.Group] = since[g.Group]
		out = append(out, g)
	}
	return out
}

func (t *settledTracker) settledAtAll(id view.GroupID, since view.Revision, holders []membership.Session) bool {
	for _, s := range holders {
		r, ok := t.reports[s]
		if !ok || r.inForce < since {
			return false
		}
		if _, ok := r.groups[id]; !ok {
			return false
		}
	}
	return true
}
