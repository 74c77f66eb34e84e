package gate

import (
	"cmp"
	"reflect"
	"slices"
	"sync"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/edge/announce"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// maxHosts limits the hosts that one gate remembers.
const maxHosts = 16_384

// announcedHost is the latest announcement of one host.
type announcedHost struct {
	announcement announce.Announcement
	at           clock.Moment
	unconfirmed  bool // heard, but not yet confirmed by the leader
	changed      bool // the leader does not know the current content yet
}

// registry holds announcements and refused connections until the leader has confirmed them.
type registry struct {
	clock clock.Clock

	mu    sync.Mutex
	hosts map[view.HostName]*announcedHost
	gone  map[view.HostName]view.Incarnation
}

func newRegistry(c clock.Clock) *registry {
	return &registry{
		clock: c,
		hosts: make(map[view.HostName]*announcedHost),
		gone:  make(map[view.HostName]view.Incarnation),
	}
}

// recordAnnouncement stores an announcement. It returns false if the host is new and the
// registry is full.
func (r *registry) recordAnnouncement(a announce.Announcement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.hosts[a.Host.Name]
	if !ok {
		if len(r.hosts) >= maxHosts {
			return false
		}
		h = &announcedHost{changed: true}
		r.hosts[a.Host.Name] = h
	}
	if !reflect.DeepEqual(h.announcement, a) {
		h.announcement = a
		h.changed = true
	}
	h.at = r.clock.Now()
	h.unconfirmed = true
	return true
}

// recordGone records that a host refused a connection, so that this incarnation is gone.
func (r *registry) recordGone(name view.HostName, inc view.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone[name] = inc
}

// pending returns the entries that the leader has not confirmed. They are returned again
// until confirm is called.
func (r *registry) pending() ([]control.HostContact, []control.UnreachableHost) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var out []control.HostContact
	for name, h := range r.hosts {
		if !h.unconfirmed {
			continue
		}
		e := control.HostContact{
			Host:        name,
			Incarnation: h.announcement.Host.Incarnation,
			AgeMillis:   now.Sub(h.at).Milliseconds(),
		}
		if h.changed {
			a := h.announcement
			e.Announcement = &a
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b control.HostContact) int { return cmp.Compare(a.Host, b.Host) })
	var gone []control.UnreachableHost
	for name, inc := range r.gone {
		gone = append(gone, control.UnreachableHost{Host: name, Incarnation: inc})
	}
	slices.SortFunc(gone, func(a, b control.UnreachableHost) int { return cmp.Compare(a.Host, b.Host) })
	return out, gone
}

// confirm marks entries returned by pending as known to the leader, except for hosts heard
// again after at.
func (r *registry) confirm(heard []control.HostContact, gone []control.UnreachableHost, at clock.Moment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range heard {
		h, ok := r.hosts[e.Host]
		if !ok || h.at > at {
			continue
		}
		h.unconfirmed = false
		h.changed = false
	}
	for _, g := range gone {
		delete(r.gone, g.Host)
	}
}

// markAllChanged makes the next syncs send every announcement in full again.
func (r *registry) markAllChanged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.hosts {
		h.changed = true
	}
}

// removeSilentSince removes hosts that were last heard before since.
func (r *registry) removeSilentSince(since clock.Moment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, h := range r.hosts {
		if h.at < since {
			delete(r.hosts, name)
		}
	}
}
