package state

import (
	"reflect"

	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/suspect"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// publication collects what one command changes in the view. It carries the
// changes of one machine on to the machines that depend on it.
type publication struct {
	state    *State
	revision view.Revision
	changed  bool
}

// begin opens the publication of the next revision.
func (s *State) begin() *publication {
	return &publication{state: s, revision: s.view.Revision + 1}
}

// groups gives an event to the group machine and publishes what it changes.
func (p *publication) groups(ev group.Event) {
	for _, c := range p.state.groups.Step(p.state.now, p.revision, ev) {
		switch c := c.(type) {
		case group.PutGroup:
			p.putGroup(c.Group)
		case group.DeleteGroup:
			p.deleteGroup(c.ID)
		}
	}
}

func (p *publication) putGroup(g view.Group) {
	p.state.view.Groups.Put(g.ID, g, p.revision)
	p.changed = true
	p.refreshGroup(g)
}

// refreshGroup tells the allocator how much a group bears.
func (p *publication) refreshGroup(g view.Group) {
	target := view.GroupTarget(g.ID)
	if g.State != view.StateServing || len(g.Members) == 0 {
		p.permits(permit.TargetDown{Target: target})
		return
	}
	mg, ok := p.state.view.ModelGroups.Get(g.ModelGroup)
	if !ok {
		p.permits(permit.TargetDown{Target: target})
		return
	}
	p.permits(permit.TargetUp{
		Target:      target,
		Incarnation: headIncarnation(g),
		Max:         mg.MaxInFlight,
		Cold:        mg.ColdInFlight,
		RampTime:    mg.RampTime,
	})
}

// headIncarnation is the incarnation that a group's permits are for.
func headIncarnation(g view.Group) view.Incarnation {
	for _, m := range g.Members {
		if m.Rank == 0 {
			return m.Incarnation
		}
	}
	return 0
}

func (p *publication) deleteGroup(id view.GroupID) {
	p.state.view.Groups.Delete(id, p.revision)
	p.changed = true
	p.permits(permit.TargetDown{Target: view.GroupTarget(id)})
}

// permits gives an event to the allocator and publishes what it changes.
func (p *publication) permits(ev permit.Event) {
	for _, c := range p.state.permits.Step(p.state.now, p.revision, ev) {
		switch c := c.(type) {
		case permit.PutShare:
			p.state.view.Shares.Put(c.Share.Target, c.Share, p.revision)
		case permit.DeleteShare:
			p.state.view.Shares.Delete(c.Target, p.revision)
		}
		p.changed = true
	}
}

// suspects gives an event to the suspect machine and publishes what it changes.
func (p *publication) suspects(ev suspect.Event) {
	for _, c := range p.state.suspects.Step(p.state.now, p.revision, ev) {
		switch c := c.(type) {
		case suspect.PutQuarantine:
			p.state.view.Quarantines.Put(c.Quarantine.Fingerprint, c.Quarantine, p.revision)
		case suspect.DeleteQuarantine:
			p.state.view.Quarantines.Delete(c.Fingerprint, p.revision)
		}
		p.changed = true
	}
}

// putHost publishes a host and the permits of a service host.
func (p *publication) putHost(h view.Host) {
	old, ok := p.state.view.Hosts.Get(h.Name)
	if ok && old == h {
		return
	}
	p.state.view.Hosts.Put(h.Name, h, p.revision)
	p.changed = true
	p.refreshService(h)
}

// deleteHost takes a host out of the view.
func (p *publication) deleteHost(name view.HostName) {
	p.state.view.Hosts.Delete(name, p.revision)
	p.changed = true
	p.permits(permit.TargetDown{Target: view.HostTarget(name)})
}

// refreshService tells the allocator how much a service host bears.
func (p *publication) refreshService(h view.Host) {
	if h.Kind != view.KindService {
		return
	}
	svc, ok := p.state.view.Services.Get(h.Service)
	if !ok {
		p.permits(permit.TargetDown{Target: view.HostTarget(h.Name)})
		return
	}
	p.permits(permit.TargetUp{
		Target:      view.HostTarget(h.Name),
		Incarnation: h.Incarnation,
		Max:         svc.MaxInFlight,
		Cold:        svc.ColdInFlight,
		RampTime:    svc.RampTime,
	})
}

// syncTable makes a table hold exactly the given values.
func syncTable[V any](p *publication, t *view.Table[string, V], values []V, key func(V) string) {
	wanted := make(map[string]struct{}, len(values))
	for _, v := range values {
		k := key(v)
		wanted[k] = struct{}{}
		if old, ok := t.Get(k); ok && reflect.DeepEqual(old, v) {
			continue
		}
		t.Put(k, v, p.revision)
		p.changed = true
	}
	for _, k := range t.Keys() {
		if _, ok := wanted[k]; ok {
			continue
		}
		t.Delete(k, p.revision)
		p.changed = true
	}
}
