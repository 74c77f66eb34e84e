package state

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/suspect"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// observe applies what the leader observed of hosts, gates and time.
func (s *State) observe(p *publication, o *Observation) {
	for _, l := range o.Lost {
		s.hostLost(p, l)
	}
	for _, h := range o.Seen {
		s.hostSeen(p, h)
	}
	for _, r := range o.Reports {
		p.stepGroups(group.StatusReported{Host: r.Host, Status: r.Status})
	}
	for _, u := range o.Uses {
		p.stepPermits(permit.UsageReported{Gate: u.Gate, Uses: u.Uses, Final: u.Final})
	}
	for _, c := range o.Counts {
		p.stepPermits(c)
	}
	for _, g := range o.Settled {
		p.stepGroups(group.GroupSettled{ID: g.Group, Epoch: g.Epoch})
	}
	if o.Barrier > s.barrier {
		s.barrier = o.Barrier
		p.stepGroups(group.BarrierPassed{Revision: o.Barrier})
		p.stepPermits(permit.BarrierPassed{Revision: o.Barrier})
	}
	if o.Tick {
		p.stepGroups(group.Ticked{})
		p.stepPermits(permit.Ticked{})
		p.stepSuspects(suspect.Ticked{})
		s.once.Tick(s.now)
	}
}

func (s *State) hostSeen(p *publication, h view.Host) {
	h.Drained = s.drained(h)
	p.putHost(h)
	if h.Kind == view.KindEngine {
		// The group machine learns of drains from DrainChanged only: a flag set
		// on the host would remain after the drain ends.
		h.Drained = false
		p.stepGroups(group.HostSeen{Host: h})
	}
}

// hostLost removes a lost host, unless another incarnation is in the view.
func (s *State) hostLost(p *publication, l HostIncarnation) {
	h, ok := s.view.Hosts.Get(l.Host)
	if !ok || h.Incarnation != l.Incarnation {
		return
	}
	p.deleteHost(l.Host)
	if h.Kind == view.KindEngine {
		p.stepGroups(group.HostLost{Host: l.Host, Incarnation: l.Incarnation})
	}
}

// registerGate records a session before it is granted its first lease.
func (s *State) registerGate(p *publication, g view.Gate) {
	session := membership.Session{Gate: g.Name, Incarnation: g.Incarnation}
	if !slices.Contains(s.sessions, session) {
		s.sessions = append(s.sessions, session)
	}
	old, ok := s.view.Gates.Get(g.Name)
	if ok && old == g {
		return
	}
	s.view.Gates.Put(g.Name, g, p.revision)
	p.changed = true
	p.stepPermits(permit.GateSeen{Gate: g.Name, Incarnation: g.Incarnation})
}

// gateGone removes a session whose lease has certainly expired.
func (s *State) gateGone(p *publication, gone membership.Session) {
	i := slices.Index(s.sessions, gone)
	if i < 0 {
		return
	}
	s.sessions = slices.Delete(s.sessions, i, i+1)
	s.once.GateGone(s.now, gone.Gate, gone.Incarnation)
	p.stepPermits(permit.GateGone{Gate: gone.Gate, Incarnation: gone.Incarnation})
	p.stepSuspects(suspect.GateGone{Gate: gone.Gate, Successor: s.successorOf(gone.Gate)})
	g, ok := s.view.Gates.Get(gone.Gate)
	if ok && g.Incarnation == gone.Incarnation {
		s.view.Gates.Delete(gone.Gate, p.revision)
		p.changed = true
	}
}

// successorOf returns the first other gate by name, or "" if there is none.
func (s *State) successorOf(gone view.GateName) view.GateName {
	for _, name := range s.view.Gates.Keys() {
		if name != gone {
			return name
		}
	}
	return ""
}

// HasSession reports whether a gate session is registered.
func (s *State) HasSession(session membership.Session) bool {
	return slices.Contains(s.sessions, session)
}

// Registered reports whether a gate is registered with exactly this description.
func (s *State) Registered(g view.Gate) bool {
	known, ok := s.view.Gates.Get(g.Name)
	if !ok || known != g {
		return false
	}
	return s.HasSession(membership.Session{Gate: g.Name, Incarnation: g.Incarnation})
}
