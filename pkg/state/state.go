package state

import (
	"cmp"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/suspect"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// tombstoneRevisions is for how many revisions a removed key is remembered; a
// gate that is further behind gets the whole view.
const tombstoneRevisions = 10_000

// State is the replicated state. It is not safe for concurrent use; Store
// adds the locking.
type State struct {
	now      view.Time
	view     *view.View
	floor    view.Revision // deltas from before it need the whole view
	barrier  view.Revision
	objects  ObjectRevision
	changes  *changeLog
	sessions []membership.Session

	groups   *group.Machine
	permits  *permit.Allocator
	once     *once.Machine
	suspects *suspect.Machine
}

// New returns the state before the first command.
func New() *State {
	return &State{
		view:     view.New(),
		changes:  newChangeLog(),
		groups:   group.NewMachine(group.Options{}),
		permits:  permit.NewAllocator(permit.Options{}),
		once:     once.NewMachine(once.Options{}),
		suspects: suspect.NewMachine(suspect.Options{}),
	}
}

// Apply carries out one command.
func (s *State) Apply(c Command) Result {
	s.now = max(s.now, c.At)
	p := s.begin()
	var r Result
	switch {
	case c.Publish != nil:
		r.Change = s.publish(p, c.Publish)
	case c.Rollback != nil:
		r.Change = s.rollback(p, c.Rollback)
	case c.Drain != nil:
		r.Change = s.drain(p, c.Drain)
	case c.RegisterGate != nil:
		s.registerGate(p, *c.RegisterGate)
	case c.GateGone != nil:
		s.gateGone(p, *c.GateGone)
	case c.Observe != nil:
		s.observe(p, c.Observe)
	case c.Intend != nil:
		d := s.once.Intend(s.now, *c.Intend)
		r.Decision = &d
	case c.Conclude != nil:
		settled := s.once.Conclude(s.now, *c.Conclude)
		r.Settled = &settled
	case c.Crash != nil:
		p.suspects(*c.Crash)
	case c.RanWell != nil:
		p.suspects(*c.RanWell)
	case c.Release != nil:
		p.suspects(*c.Release)
	}
	s.commit(p)
	r.Revision = s.view.Revision
	return r
}

// commit makes the publication's changes the next revision, if there are any.
func (s *State) commit(p *publication) {
	if !p.changed {
		return
	}
	s.view.Revision = p.revision
	if s.view.Revision > s.floor+2*tombstoneRevisions {
		s.floor = s.view.Revision - tombstoneRevisions
		s.view.Trim(s.floor)
	}
}

// Delta returns what brings a gate from a revision to the one in force.
func (s *State) Delta(from view.Revision) *view.Delta {
	if from < s.floor || from > s.view.Revision {
		from = 0
	}
	return s.view.Since(from)
}

// Revision returns the view revision in force.
func (s *State) Revision() view.Revision { return s.view.Revision }

// Barrier returns the highest barrier that entered the log.
func (s *State) Barrier() view.Revision { return s.barrier }

// Objects returns the set in force.
func (s *State) Objects() ObjectRevision { return s.objects }

// Set returns an earlier set that is still remembered.
func (s *State) Set(revision uint64) (ObjectRevision, bool) {
	if revision == 0 || revision == s.objects.Revision {
		return s.objects, true
	}
	return s.changes.set(revision)
}

// Sessions returns the registered gate sessions.
func (s *State) Sessions() []membership.Session { return s.sessions }

// Now returns the replicated time.
func (s *State) Now() view.Time { return s.now }

// publishObjects puts a set in force as the next object revision.
func (s *State) publishObjects(p *publication, set object.Set) {
	s.objects = ObjectRevision{Revision: s.objects.Revision + 1, Set: set}
	s.changes.keepSet(s.objects)
	syncTable(p, s.view.ModelGroups, set.ModelGroups, func(m object.ModelGroup) string { return m.Name })
	syncTable(p, s.view.Services, set.Services, func(m object.Service) string { return m.Name })
	syncTable(p, s.view.Organisations, set.Organisations, func(m object.Organisation) string { return m.Name })
	s.once.Publish(set)
	p.groups(group.ObjectsPublished{Set: set})
	for _, name := range s.view.Hosts.Keys() {
		h, _ := s.view.Hosts.Get(name)
		p.refreshService(h)
	}
	for _, id := range s.view.Groups.Keys() {
		g, _ := s.view.Groups.Get(id)
		p.refreshGroup(g)
	}
}

// Hosts returns the upstream hosts in the view, by name.
func (s *State) Hosts() []view.Host {
	return values(s.view.Hosts)
}

// Orders returns the orders that stand now.
func (s *State) Orders() []order.Order {
	return s.groups.Orders(s.now)
}

// DrainingGroups returns the groups that are draining, and the revision since
// when each is.
func (s *State) DrainingGroups() ([]SettledGroup, map[view.GroupID]view.Revision) {
	var draining []SettledGroup
	since := make(map[view.GroupID]view.Revision)
	for id, e := range s.view.Groups.Entries {
		if !e.Value.Draining {
			continue
		}
		draining = append(draining, SettledGroup{Group: id, Epoch: e.Value.Epoch})
		since[id] = e.Changed
	}
	slices.SortFunc(draining, func(a, b SettledGroup) int { return cmp.Compare(a.Group, b.Group) })
	return draining, since
}

// values returns a table's values in key order.
func values[K cmp.Ordered, V any](t *view.Table[K, V]) []V {
	out := make([]V, 0, t.Len())
	for _, k := range t.Keys() {
		v, _ := t.Get(k)
		out = append(out, v)
	}
	return out
}

// ShareChangedAt tells at which revision a target's share last changed.
func (s *State) ShareChangedAt(t view.TargetID) view.Revision {
	return s.view.Shares.Entries[t].Changed
}

// IsRedundantReport tells whether a report would tell the groups nothing new. A report of
// a host that the groups do not know yet may come with it.
func (s *State) IsRedundantReport(r HostReport) bool {
	h, ok := s.groups.Host(r.Host)
	if !ok || !h.Present || h.Host.Incarnation != r.Status.Incarnation {
		return false
	}
	return !s.groups.NeedsReport(r.Host, r.Status)
}

// GroupsSince returns the groups that changed after a revision.
func (s *State) GroupsSince(r view.Revision) []view.Entry[view.GroupID, view.Group] {
	return s.view.Groups.Since(r).Put
}

// OrphanedTargets returns the targets on which work of gates without a lease may still
// run.
func (s *State) OrphanedTargets() []view.TargetID { return s.permits.OrphanedTargets() }
