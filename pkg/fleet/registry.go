package fleet

import (
	"sort"
	"time"
)

// RecordTTL is how long the record of a silent or departed incarnation is kept.
// It exceeds the longest delay of an announcement, so that a delayed one is
// still recognised as old.
const RecordTTL = 60 * time.Second

// Entry is the registry's record of one incarnation.
type Entry struct {
	Upstream
	Heard    time.Duration // time of the last announcement, by the caller's clock
	Revision uint64        // registry revision of the last change
	Visible  uint64        // registry revision of the last change that affects routing by entry hosts
}

// Registry holds the newest record of each upstream. It is not safe for
// concurrent use.
type Registry struct {
	entries         map[string]*Entry
	idByAddress     map[string]string // ID of the current owner, by address
	revision        uint64
	visibleRevision uint64
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{entries: map[string]*Entry{}, idByAddress: map[string]string{}}
}

// Revision returns the number of changes that other coordinators must receive.
func (r *Registry) Revision() uint64 { return r.revision }

// VisibleRevision returns the revision of the last change that affects routing
// by entry hosts.
func (r *Registry) VisibleRevision() uint64 { return r.visibleRevision }

// Get returns the entry of an ID, or nil if the ID is unknown.
func (r *Registry) Get(id string) *Entry { return r.entries[id] }

// Announce records an announcement and reports whether it changed anything that
// other coordinators must receive. It ignores an announcement that is older than
// the record, and one of an incarnation whose address has a newer owner.
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
	if !r.takeAddress(u) {
		return false
	}
	return r.store(now, u)
}

// store replaces the record of an upstream and reports whether that changed anything that other
// coordinators must receive.
func (r *Registry) store(now time.Duration, u Upstream) bool {
	known := r.entries[u.ID]
	fresh := known == nil
	if fresh {
		known = &Entry{}
		r.entries[u.ID] = known
	}
	changed := fresh || u.differs(&known.Upstream)
	visible := fresh && u.TakesRequests() || !fresh && u.routingDiffers(&known.Upstream)
	known.Upstream = u
	known.Heard = now
	if changed {
		r.bumpRevision(known, visible)
	}
	return changed
}

// takeAddress makes an incarnation the owner of its address; the one before it is gone. It returns false
// if the present owner is newer.
func (r *Registry) takeAddress(u Upstream) bool {
	if owner := r.entries[r.idByAddress[u.Address]]; owner != nil && owner.ID != u.ID && owner.State != Gone {
		if owner.StartedMS >= u.StartedMS {
			return false
		}
		r.update(owner, func(e *Entry) {
			e.State = Gone
			e.Deregistered = false
		})
	}
	r.idByAddress[u.Address] = u.ID
	return true
}

// Mirror takes over the record of another registry. Of an incarnation that is known from a later
// announcement only the state and the cordon are taken over.
func (r *Registry) Mirror(now time.Duration, u Upstream) {
	known := r.entries[u.ID]
	if known != nil {
		if u.StartedMS < known.StartedMS {
			return
		}
		if u.StartedMS == known.StartedMS {
			u.State = LaterState(known.State, u.State)
			if u.Sequence < known.Sequence {
				newer := known.Upstream
				newer.State, newer.Cordoned, newer.Deregistered = u.State, u.Cordoned, u.Deregistered
				u = newer
			}
		}
	}
	if u.State != Gone && !r.takeAddress(u) {
		return
	}
	r.store(now, u)
}

// Heard records that an incarnation announced itself without a change. It reports whether the
// announcement is known to be its newest.
func (r *Registry) Heard(at time.Duration, id string, startedMS, sequence int64) bool {
	e := r.entries[id]
	if e == nil || e.StartedMS != startedMS || e.Sequence >= sequence {
		return false
	}
	e.Sequence = sequence
	e.Heard = max(e.Heard, at)
	return true
}

// Changes reports whether an announcement changes anything that other processes must receive.
func (r *Registry) Changes(u Upstream) bool {
	e := r.entries[u.ID]
	if e == nil || e.StartedMS != u.StartedMS || e.State != u.State || r.idByAddress[u.Address] != u.ID {
		return true
	}
	u.Cordoned = e.Cordoned
	return u.differs(&e.Upstream)
}

// Depart marks an incarnation as draining or gone. It reports whether other
// coordinators must receive the change.
func (r *Registry) Depart(id string, startedMS int64, state State) bool {
	e := r.entries[id]
	if e == nil || e.StartedMS != startedMS || LaterState(e.State, state) == e.State {
		return false
	}
	r.update(e, func(e *Entry) {
		e.State = state
		e.Deregistered = state == Gone
	})
	return true
}

// SetCordoned sets whether the head of a group is excluded from new requests. It
// reports whether that changed anything.
func (r *Registry) SetCordoned(id string, cordoned bool) bool {
	e := r.entries[id]
	if e == nil || e.Cordoned == cordoned {
		return false
	}
	r.update(e, func(e *Entry) { e.Cordoned = cordoned })
	return true
}

func (r *Registry) update(e *Entry, set func(*Entry)) {
	set(e)
	r.bumpRevision(e, e.TakesRequests())
}

func (r *Registry) bumpRevision(e *Entry, visible bool) {
	r.revision++
	e.Revision = r.revision
	if visible {
		r.visibleRevision = r.revision
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

// VisibleSince returns the records whose routing changed after a revision, sorted
// by ID. For revision 0 it returns the upstreams that take requests.
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

// Expire removes the records of incarnations that have not announced themselves
// for RecordTTL.
func (r *Registry) Expire(now time.Duration) {
	for id, e := range r.entries {
		if now-e.Heard < RecordTTL {
			continue
		}
		r.Forget(id)
	}
}

// Forget removes the record of an incarnation. The revision does not tell that.
func (r *Registry) Forget(id string) {
	if e := r.entries[id]; e != nil && r.idByAddress[e.Address] == id {
		delete(r.idByAddress, e.Address)
	}
	delete(r.entries, id)
}
