package state

import (
	"fmt"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// publish puts a validated set in force, unless its change ID was used before or
// its base is not the current object revision.
func (s *State) publish(p *publication, c *Publish) *ChangeOutcome {
	if out, ok := s.changes.outcomeOf(c.ChangeID, c.Digest); ok {
		return &out
	}
	if c.BaseRevision != s.objects.Revision {
		return s.conflict(c.BaseRevision)
	}
	s.publishObjects(p, c.Set)
	return s.accept(p, c.Digest, control.Change{
		ChangeID: c.ChangeID,
		Operator: c.Operator,
		Kind:     "apply",
		Summary:  fmt.Sprintf("%d objects", c.Set.Len()),
	})
}

// rollback puts an earlier set in force as a new object revision.
func (s *State) rollback(p *publication, c *Rollback) *ChangeOutcome {
	if out, ok := s.changes.outcomeOf(c.ChangeID, c.Digest); ok {
		return &out
	}
	if c.BaseRevision != s.objects.Revision {
		return s.conflict(c.BaseRevision)
	}
	old, ok := s.changes.set(c.To)
	if !ok {
		return &ChangeOutcome{
			Status:         ChangeNotFound,
			ObjectRevision: s.objects.Revision,
			Message:        fmt.Sprintf("object revision %d is not kept; only the last %d are", c.To, maxSets),
		}
	}
	s.publishObjects(p, old.Set)
	return s.accept(p, c.Digest, control.Change{
		ChangeID: c.ChangeID,
		Operator: c.Operator,
		Kind:     "rollback",
		Summary:  fmt.Sprintf("to object revision %d", c.To),
	})
}

// drain takes an object out of service or returns it to service.
func (s *State) drain(p *publication, c *Drain) *ChangeOutcome {
	if out, ok := s.changes.outcomeOf(c.ChangeID, c.Digest); ok {
		return &out
	}
	if !s.drainable(c.Kind, c.Name) {
		return &ChangeOutcome{
			Status:         ChangeNotFound,
			ObjectRevision: s.objects.Revision,
			Message:        fmt.Sprintf("no %s %q is known", c.Kind, c.Name),
		}
	}
	s.setDrain(p, c)
	kind := "drain"
	if c.Restore {
		kind = "restore"
	}
	return s.accept(p, c.Digest, control.Change{
		ChangeID: c.ChangeID,
		Operator: c.Operator,
		Kind:     kind,
		Summary:  string(c.Kind) + " " + c.Name,
	})
}

// drainable reports whether there is such a failure domain or upstream, or an
// active drain of that name.
func (s *State) drainable(kind view.DrainKind, name string) bool {
	if _, ok := s.view.Drains.Get(drainKey(kind, name)); ok {
		return true
	}
	if kind == view.DrainUpstream {
		_, ok := s.view.Hosts.Get(view.HostName(name))
		return ok
	}
	for _, d := range s.objects.Set.FailureDomains {
		if d.Name == name {
			return kind == view.DrainFailureDomain
		}
	}
	return false
}

func (s *State) setDrain(p *publication, c *Drain) {
	key := drainKey(c.Kind, c.Name)
	if _, drained := s.view.Drains.Get(key); drained != c.Restore {
		return
	}
	p.changed = true
	if c.Restore {
		s.view.Drains.Delete(key, p.revision)
	} else {
		s.view.Drains.Put(key, view.Drain{Kind: c.Kind, Name: c.Name, Since: s.now}, p.revision)
	}
	for _, name := range s.view.Hosts.Keys() {
		h, _ := s.view.Hosts.Get(name)
		h.Drained = s.drained(h)
		p.putHost(h)
	}
	p.stepGroups(group.DrainChanged{Kind: c.Kind, Name: c.Name, Drained: !c.Restore})
}

// drained reports whether a host or its failure domain is drained.
func (s *State) drained(h view.Host) bool {
	if _, ok := s.view.Drains.Get(drainKey(view.DrainUpstream, string(h.Name))); ok {
		return true
	}
	_, ok := s.view.Drains.Get(drainKey(view.DrainFailureDomain, h.FailureDomain))
	return ok
}

func drainKey(kind view.DrainKind, name string) string { return string(kind) + "/" + name }

// accept records an accepted change. Its view revision is that of this publication,
// or the one in force if the view does not change.
func (s *State) accept(p *publication, digest string, c control.Change) *ChangeOutcome {
	out := ChangeOutcome{
		Status:         ChangeAccepted,
		ObjectRevision: s.objects.Revision,
		ViewRevision:   s.view.Revision,
	}
	if p.changed {
		out.ViewRevision = p.revision
	}
	c.ObjectRevision = out.ObjectRevision
	c.ViewRevision = out.ViewRevision
	c.At = s.now
	s.changes.add(digest, out, c)
	return &out
}

func (s *State) conflict(base uint64) *ChangeOutcome {
	return &ChangeOutcome{
		Status:         ChangeConflict,
		ObjectRevision: s.objects.Revision,
		ViewRevision:   s.view.Revision,
		Message:        fmt.Sprintf("the change is based on object revision %d, current is %d", base, s.objects.Revision),
	}
}

// History returns the accepted changes, newest first.
func (s *State) History() []control.Change {
	out := make([]control.Change, 0, len(s.changes.History))
	for i := len(s.changes.History) - 1; i >= 0; i-- {
		out = append(out, s.changes.History[i])
	}
	return out
}
