package groups

import (
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// check checks all invariants.
func (w *World) check() {
	w.checkMemberships()
	w.checkReports()
	w.checkGates()
	w.checkEngines()
	if w.enforceMinimum {
		w.checkMinimum()
	}
}

// checkMinimum fails if a model has fewer serving groups than its declared minimum.
func (w *World) checkMinimum() {
	taking := make(map[string]int)
	for _, g := range w.groups() {
		if takesWork(g) {
			taking[g.ModelGroup]++
		}
	}
	for _, mg := range w.objects.ModelGroups {
		if taking[mg.Name] < mg.Minimum {
			w.fail("%d groups of %s take work, the minimum is %d", taking[mg.Name], mg.Name, mg.Minimum)
		}
	}
}

// checkMemberships fails if the machine's state has a host in two groups, or if a
// host's role or fabric domain differs from that of its group.
func (w *World) checkMemberships() {
	in := make(map[view.HostName]view.GroupID)
	for _, g := range w.groups() {
		w.checkPublished(g)
		for _, m := range g.Members {
			if other, ok := in[m.Host]; ok {
				w.fail("%s is in %s and in %s", m.Host, other, g.ID)
			}
			in[m.Host] = g.ID
			h, _ := w.machine.Host(m.Host)
			if h.Group != g.ID {
				w.fail("%s is a member of %s, its role is in %q", m.Host, g.ID, h.Group)
			}
			if h.Host.FabricDomain != g.FabricDomain {
				w.fail("%s of %s is in fabric domain %s", m.Host, g.ID, h.Host.FabricDomain)
			}
		}
	}
}

// checkPublished fails if the published group differs from the machine's state.
func (w *World) checkPublished(g view.Group) {
	p, ok := w.current[g.ID]
	same := ok && p.State == g.State && p.Epoch == g.Epoch && p.Draining == g.Draining &&
		p.Version == g.Version && slices.Equal(p.Members, g.Members)
	if !same {
		w.fail("published group is %+v, the machine has %+v", p, g)
	}
}

// checkReports fails if a group serves while a member's last report does not match.
func (w *World) checkReports() {
	for _, g := range w.groups() {
		if g.State != view.StateServing {
			continue
		}
		if len(g.Members) != w.size(g) {
			w.fail("%s serves with %d members", g.ID, len(g.Members))
		}
		for _, m := range g.Members {
			h, _ := w.machine.Host(m.Host)
			if !h.Present || !h.Reported || !statusMatches(h.Status, g, m) {
				w.fail("%s serves, its member %s reported %+v", g.ID, m.Host, h.Status)
			}
		}
	}
}

func (w *World) size(g view.Group) int {
	for _, mg := range w.objects.ModelGroups {
		if mg.Name == g.ModelGroup {
			return mg.HostsPerGroup
		}
	}
	return len(g.Members)
}

// checkGates fails if a gate gives work to a group that is incomplete, unless the
// fault is too recent for the gate to know.
func (w *World) checkGates() {
	believed := make(map[view.HostName]instance)
	for _, gt := range w.gates {
		if !gt.leaseValid(w.now) {
			continue
		}
		for _, g := range w.views[gt.inForce] {
			if takesWork(g) {
				w.checkMembersMatch(g, believed)
			}
		}
	}
}

func (w *World) checkMembersMatch(g view.Group, believed map[view.HostName]instance) {
	key := instance{g.ID, g.Epoch}
	for _, m := range g.Members {
		if other, ok := believed[m.Host]; ok && other != key {
			w.fail("one gate has host %s in %v, another in %v", m.Host, other, key)
		}
		believed[m.Host] = key
		e := w.byName[m.Host]
		whole := e.up && statusMatches(e.status, g, m)
		if !whole && w.now-e.faultAt > noticeBound {
			w.fail("a gate gives work to %v, its member %s runs %+v (up %v)", key, m.Host, e.status, e.up)
		}
		w.checkDrained(e, key)
	}
}

// checkOrderEffect fails if an order changed the role of an engine in a group that a
// gate still gives work to.
func (w *World) checkOrderEffect(e *engine, was report.Status) {
	for _, gt := range w.gates {
		if !gt.leaseValid(w.now) {
			continue
		}
		for _, g := range w.views[gt.inForce] {
			if g.ID == was.Group && takesWork(g) {
				w.checkMemberKept(e, was, g)
			}
		}
	}
}

func (w *World) checkMemberKept(e *engine, was report.Status, g view.Group) {
	for _, m := range g.Members {
		if m.Host == e.host.Name && statusMatches(was, g, m) && !statusMatches(e.status, g, m) {
			w.fail("an order removed %s from %v while a gate gives that group work", m.Host, instance{g.ID, g.Epoch})
		}
	}
}

// checkDrained fails if a host gets work although it or its failure domain is drained.
func (w *World) checkDrained(e *engine, key instance) {
	for _, name := range []string{e.host.FailureDomain, string(e.host.Name)} {
		since, ok := w.drained[name]
		if ok && w.now-since > gateLease+time.Second {
			w.fail("a gate gives work to %v, %s was drained %v ago", key, name, w.now-since)
		}
	}
}

// checkEngines fails if two engines have the same rank of a group at the same epoch.
func (w *World) checkEngines() {
	type rank struct {
		instance
		rank int
	}
	has := make(map[rank]view.HostName)
	for _, e := range w.engines {
		s := e.status
		if s.Group == "" {
			continue
		}
		key := rank{instance{s.Group, s.Epoch}, s.Rank}
		if other, ok := has[key]; ok {
			w.fail("engines %s and %s both have rank %v", other, e.host.Name, key)
		}
		has[key] = e.host.Name
	}
}

// allServing reports whether all wanted groups take work.
func (w *World) allServing() bool {
	s := w.machine.Stats()
	return s.TakingWork == s.Wanted
}
