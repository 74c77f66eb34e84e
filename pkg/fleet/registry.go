package fleet

import (
	"sort"
	"time"
)

// RecordTTL is how long a silent or departed incarnation is kept: longer
// than an announcement may be late, so that a late one is recognised.
const RecordTTL = 60 * time.Second

// Entry is what a registry keeps of an incarnation.
type Entry struct {
	Upstream
	Heard    time.Duration // when it last announced itself, by the caller's clock
	Revision uint64        // of its last change
	Visible  uint64        // revision of its last change that concerns entry hosts
}

// Registry holds the newest record of each upstream. Its methods are for one
// goroutine.
type Registry struct {
	entries  map[string]*Entry
	owners   map[string]string // address to the ID that holds it
	revision uint64
	visible  uint64
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{entries: map[string]*Entry{}, owners: map[string]string{}}
}

// Revision counts the changes that other coordinators must hear of.
func (r *Registry) Revision() uint64 { return r.revision }

// VisibleRevision is the revision of the last change that concerns entry hosts.
func (r *Registry) VisibleRevision() uint64 { return r.visible }

// Get returns an entry, nil for an unknown ID.
func (r *Registry) Get(id string) *Entry { return r.entries[id] }

// Announce takes an upstream's word for itself and tells whether others must
// hear of it. An announcement that is older than what is known changes
// nothing; neither does one of an incarnation whose address has a newer owner.
func (r *Registry) Announce(now time.Duration, u Upstream) bool {
	known := r.entries[u.ID]
	if known != nil {
		if !u.NewerThan(&known.Upstream) {
			return false
		}
		if u.StartedMS == known.StartedMS {
			u.State = LaterState(known.State, u.State)
			u.Deregistered = known.Deregistered
			u.Cordoned = known.Cordoned
			if u.LastGroup == "" {
				u.LastGroup = known.LastGroup
			}
		}
	}
	if u.Assignment != nil && u.Assignment.State != AssignmentJoining {
		u.LastGroup = u.Assignment.Group
	}
	if owner := r.entries[r.owners[u.Address]]; owner != nil && owner.ID != u.ID && owner.State != Gone {
		if owner.StartedMS >= u.StartedMS {
			return false
		}
		r.change(owner, func(e *Entry) {
			e.State = Gone
			e.Deregistered = false
		})
	}
	r.owners[u.Address] = u.ID
	if known == nil {
		known = &Entry{}
		r.entries[u.ID] = known
	}
	fresh := known.ID == ""
	changed := fresh || u.differs(&known.Upstream)
	visible := fresh && u.TakesRequests() || !fresh && u.servesOtherwise(&known.Upstream)
	known.Upstream = u
	known.Heard = now
	if changed {
		r.touch(known, visible)
	}
	return changed
}

// Depart marks an incarnation as draining or gone. It tells whether others must
// hear of it.
func (r *Registry) Depart(id string, born int64, state State) bool {
	e := r.entries[id]
	if e == nil || e.StartedMS != born || LaterState(e.State, state) == e.State {
		return false
	}
	r.change(e, func(e *Entry) {
		e.State = state
		e.Deregistered = state == Gone
	})
	return true
}

// SetCordoned keeps new requests from the head of a group, or allows them again.
func (r *Registry) SetCordoned(id string, barred bool) bool {
	e := r.entries[id]
	if e == nil || e.Cordoned == barred {
		return false
	}
	r.change(e, func(e *Entry) { e.Cordoned = barred })
	return true
}

func (r *Registry) change(e *Entry, set func(*Entry)) {
	set(e)
	r.touch(e, e.TakesRequests())
}

func (r *Registry) touch(e *Entry, visible bool) {
	r.revision++
	e.Revision = r.revision
	if visible {
		r.visible = r.revision
		e.Visible = r.revision
	}
}

// Since returns the records that changed after a revision, sorted by ID.
func (r *Registry) Since(revision uint64) []Upstream {
	var us []Upstream
	for _, e := range r.entries {
		if e.Revision > revision {
			us = append(us, e.Upstream)
		}
	}
	sort.Slice(us, func(i, j int) bool { return us[i].ID < us[j].ID })
	return us
}

// VisibleSince returns the records that entry hosts must hear of after a
// revision, sorted by ID; after 0 those are the upstreams that serve.
func (r *Registry) VisibleSince(revision uint64) []Upstream {
	var us []Upstream
	for _, e := range r.entries {
		if e.Visible > revision && (revision > 0 || e.TakesRequests()) {
			us = append(us, e.Upstream)
		}
	}
	sort.Slice(us, func(i, j int) bool { return us[i].ID < us[j].ID })
	return us
}

// All returns the entries sorted by ID.
func (r *Registry) All() []*Entry {
	es := make([]*Entry, 0, len(r.entries))
	for _, e := range r.entries {
		es = append(es, e)
	}
	sort.Slice(es, func(i, j int) bool { return es[i].ID < es[j].ID })
	return es
}

// Expire drops incarnations that were silent for ForgetAfter.
func (r *Registry) Expire(now time.Duration) {
	for id, e := range r.entries {
		if now-e.Heard < RecordTTL {
			continue
		}
		delete(r.entries, id)
		if r.owners[e.Address] == id {
			delete(r.owners, e.Address)
		}
	}
}
