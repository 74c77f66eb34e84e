package groups

import (
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// check looks at all that must hold at any moment.
func (w *World) check() {
	w.checkBooks()
	w.checkReports()
	w.checkGates()
	w.checkEngines()
	if w.minimum {
		w.checkMinimum()
	}
}

// checkMinimum finds models with fewer working groups than declared.
func (w *World) checkMinimum() {
	taking := make(map[string]int)
	for _, g := range w.groups() {
		if takes(g) {
			taking[g.ModelGroup]++
		}
	}
	for _, mg := range w.objects.ModelGroups {
		if taking[mg.Name] < mg.Minimum {
			w.fail("%d groups of %s work, the minimum is %d", taking[mg.Name], mg.Name, mg.Minimum)
		}
	}
}

// checkBooks finds hosts in two groups of the machine's books.
func (w *World) checkBooks() {
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

// checkPublished finds groups whose published form is not that of the books.
func (w *World) checkPublished(g view.Group) {
	p, ok := w.current[g.ID]
	same := ok && p.State == g.State && p.Epoch == g.Epoch && p.Draining == g.Draining &&
		p.Version == g.Version && slices.Equal(p.Members, g.Members)
	if !same {
		w.fail("published is %+v, in the books %+v", p, g)
	}
}

// checkReports finds serving groups with a member whose last report differs.
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

// checkGates finds gates that give work to groups which are not whole, for
// other reasons than a fault too new to be known.
func (w *World) checkGates() {
	believed := make(map[view.HostName]instance)
	for _, gt := range w.gates {
		if !gt.takesWork(w.now) {
			continue
		}
		for _, g := range w.views[gt.inForce] {
			if takes(g) {
				w.checkBelieved(g, believed)
			}
		}
	}
}

func (w *World) checkBelieved(g view.Group, believed map[view.HostName]instance) {
	key := instance{g.ID, g.Epoch}
	for _, m := range g.Members {
		if other, ok := believed[m.Host]; ok && other != key {
			w.fail("one gate has %s in %v, another in %v", m.Host, other, key)
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

// checkDisturbed finds an engine that an order took away from a group which a
// gate still gives work to.
func (w *World) checkDisturbed(e *engine, was report.Status) {
	for _, gt := range w.gates {
		if !gt.takesWork(w.now) {
			continue
		}
		for _, g := range w.views[gt.inForce] {
			if g.ID == was.Group && takes(g) {
				w.checkStays(e, was, g)
			}
		}
	}
}

func (w *World) checkStays(e *engine, was report.Status, g view.Group) {
	for _, m := range g.Members {
		if m.Host == e.host.Name && statusMatches(was, g, m) && !statusMatches(e.status, g, m) {
			w.fail("an order took %s from %v, to which a gate gives work", m.Host, instance{g.ID, g.Epoch})
		}
	}
}

// checkDrained finds work for what was taken out.
func (w *World) checkDrained(e *engine, key instance) {
	for _, name := range []string{e.host.FailureDomain, string(e.host.Name)} {
		since, ok := w.drained[name]
		if ok && w.now-since > gateLease+time.Second {
			w.fail("a gate gives work to %v, %s was taken out %v ago", key, name, w.now-since)
		}
	}
}

// checkEngines finds two engines with one rank of a group at one epoch.
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
			w.fail("%s and %s both have %v", other, e.host.Name, key)
		}
		has[key] = e.host.Name
	}
}

// whole tells whether all wanted groups take work.
func (w *World) whole() bool {
	s := w.machine.Stats()
	return s.TakingWork == s.Wanted
}
