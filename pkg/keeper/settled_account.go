package keeper

import (
	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/state"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// settledWord is a gate's latest word on draining groups without work.
type settledWord struct {
	inForce view.Revision
	groups  map[view.GroupID]struct{}
}

// settledAccount tells which draining groups no gate has work on. Only words
// count that a gate gave with the draining in force: earlier ones could be
// followed by new work.
type settledAccount struct {
	words    map[membership.Session]settledWord
	proposed map[view.GroupID]view.Revision // since when the proposed group drains
}

func newSettledAccount() *settledAccount {
	return &settledAccount{
		words:    make(map[membership.Session]settledWord),
		proposed: make(map[view.GroupID]view.Revision),
	}
}

func (a *settledAccount) note(s membership.Session, inForce view.Revision, settled []view.GroupID) {
	w := settledWord{inForce: inForce, groups: make(map[view.GroupID]struct{}, len(settled))}
	for _, g := range settled {
		w.groups[g] = struct{}{}
	}
	a.words[s] = w
}

func (a *settledAccount) forget(s membership.Session) {
	delete(a.words, s)
}

// retry makes groups be told again whose observation did not enter the log.
func (a *settledAccount) retry(groups []state.SettledGroup) {
	for _, g := range groups {
		delete(a.proposed, g.Group)
	}
}

// collect returns the draining groups that every holder of a lease calls
// settled.
func (a *settledAccount) collect(draining []state.SettledGroup, since map[view.GroupID]view.Revision, barrier view.Revision, holders []membership.Session) []state.SettledGroup {
	for id, at := range a.proposed {
		if since[id] != at {
			delete(a.proposed, id)
		}
	}
	var out []state.SettledGroup
	for _, g := range draining {
		if _, done := a.proposed[g.Group]; done || since[g.Group] > barrier {
			continue
		}
		if !a.settledEverywhere(g.Group, since[g.Group], holders) {
			continue
		}
		a.proposed[g.Group] = since[g.Group]
		out = append(out, g)
	}
	return out
}

func (a *settledAccount) settledEverywhere(id view.GroupID, since view.Revision, holders []membership.Session) bool {
	for _, s := range holders {
		w, ok := a.words[s]
		if !ok || w.inForce < since {
			return false
		}
		if _, ok := w.groups[id]; !ok {
			return false
		}
	}
	return true
}
