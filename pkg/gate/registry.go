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

// maxHeard bounds the hosts that one gate remembers.
const maxHeard = 16_384

// heard is the latest announcement of one host.
type heard struct {
	announcement announce.Announcement
	at           clock.Moment
	fresh        bool // heard since the last answered sync
	changed      bool // its content is not yet known to the leader
}

// registry holds what this gate heard of upstreams until the leader knows it.
type registry struct {
	clock clock.Clock

	mu    sync.Mutex
	hosts map[view.HostName]*heard
	gone  map[view.HostName]view.Incarnation
}

func newRegistry(c clock.Clock) *registry {
	return &registry{
		clock: c,
		hosts: make(map[view.HostName]*heard),
		gone:  make(map[view.HostName]view.Incarnation),
	}
}

// announced takes in an announcement. It returns false when the gate holds as
// many hosts as it can.
func (r *registry) announced(a announce.Announcement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.hosts[a.Host.Name]
	if !ok {
		if len(r.hosts) >= maxHeard {
			return false
		}
		h = &heard{changed: true}
		r.hosts[a.Host.Name] = h
	}
	if !reflect.DeepEqual(h.announcement, a) {
		h.announcement = a
		h.changed = true
	}
	h.at = r.clock.Now()
	h.fresh = true
	return true
}

// refused notes that a host refused a connection.
func (r *registry) refused(name view.HostName, inc view.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone[name] = inc
}

// take returns what to tell the leader. What is not confirmed is told again.
func (r *registry) take() ([]control.HostContact, []control.UnreachableHost) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var out []control.HostContact
	for name, h := range r.hosts {
		if !h.fresh {
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

// confirm notes that the leader took in what take returned at a moment.
func (r *registry) confirm(told []control.HostContact, gone []control.UnreachableHost, at clock.Moment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range told {
		h, ok := r.hosts[e.Host]
		if !ok || h.at > at {
			continue
		}
		h.fresh = false
		h.changed = false
	}
	for _, g := range gone {
		delete(r.gone, g.Host)
	}
}

// resend makes every announcement go out in full again.
func (r *registry) resend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.hosts {
		h.changed = true
	}
}

// trim forgets hosts that were not heard since a moment.
func (r *registry) trim(since clock.Moment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, h := range r.hosts {
		if h.at < since {
			delete(r.hosts, name)
		}
	}
}
