package liveness

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/state"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Timing holds how long a host may be silent.
type Timing struct {
	LostAfter        time.Duration // silence after which a host counts as lost
	RefusedLostAfter time.Duration // the same for a host that refuses connections
}

// host is what the tracker knows of one upstream host.
type host struct {
	known     view.Host
	status    report.Status
	heard     clock.Moment
	via       membership.Session
	refused   bool
	announced bool // heard by this leader
}

// Tracker follows the hosts. It is used by one goroutine at a time.
type Tracker struct {
	timing   Timing
	hosts    map[view.HostName]*host
	seen     map[view.HostName]struct{} // changed since the last Collect
	reports  map[view.HostName]struct{} // status changed since the last Collect
	lastGate clock.Moment
}

// NewTracker returns the tracker of a leader elected at now. Known hosts get
// the whole time to be heard again.
func NewTracker(t Timing, now clock.Moment, known []view.Host) *Tracker {
	tr := &Tracker{
		timing:   t,
		hosts:    make(map[view.HostName]*host),
		seen:     make(map[view.HostName]struct{}),
		reports:  make(map[view.HostName]struct{}),
		lastGate: now,
	}
	for _, h := range known {
		tr.hosts[h.Name] = &host{known: h, heard: now}
	}
	return tr
}

// HandleAnnouncement takes in what one gate heard. It returns false when the gate must
// send the announcement in full.
func (t *Tracker) HandleAnnouncement(now clock.Moment, via membership.Session, h control.HostContact) bool {
	at := now.Add(-time.Duration(h.AgeMillis) * time.Millisecond)
	k, ok := t.hosts[h.Host]
	if ok && t.stale(at, k, h.Incarnation) {
		return true
	}
	if h.Announcement == nil {
		if !ok || k.known.Incarnation != h.Incarnation || !k.announced {
			return false
		}
		k.touch(at, via)
		return true
	}
	t.announced(at, via, h)
	return true
}

// stale tells whether an announcement comes from an earlier start of a host
// than the one that is up.
func (t *Tracker) stale(at clock.Moment, k *host, inc view.Incarnation) bool {
	return inc < k.known.Incarnation && at.Sub(k.heard) < t.timing.LostAfter
}

func (t *Tracker) announced(at clock.Moment, via membership.Session, h control.HostContact) {
	a := h.Announcement
	k, ok := t.hosts[h.Host]
	if !ok || k.known.Incarnation != h.Incarnation {
		k = &host{}
		t.hosts[h.Host] = k
	}
	if at < k.heard {
		return
	}
	wanted := a.Host
	wanted.Drained = false
	known := k.known
	known.Drained = false
	if known != wanted {
		k.known = wanted
		t.seen[h.Host] = struct{}{}
	}
	if !k.announced || !reflect.DeepEqual(k.status, a.Status) {
		k.status = a.Status
		t.reports[h.Host] = struct{}{}
	}
	k.announced = true
	k.touch(at, via)
}

func (k *host) touch(at clock.Moment, via membership.Session) {
	if at < k.heard {
		return
	}
	k.heard = at
	k.via = via
	k.refused = false
}

// HandleGateReport notes that a gate's word came in. Without any gate's word nothing
// can be said of hosts.
func (t *Tracker) HandleGateReport(now clock.Moment) {
	if now.Sub(t.lastGate) > t.timing.RefusedLostAfter {
		t.forgive(now, now.Sub(t.lastGate))
	}
	t.lastGate = now
}

// forgive gives every host the time back in which no gate was heard.
func (t *Tracker) forgive(now clock.Moment, silence time.Duration) {
	for _, k := range t.hosts {
		k.heard = min(now, k.heard.Add(silence))
	}
}

// HandleRefusal notes that a host refused or reset a gate's connection.
func (t *Tracker) HandleRefusal(g control.UnreachableHost) {
	k, ok := t.hosts[g.Host]
	if ok && k.known.Incarnation == g.Incarnation {
		k.refused = true
	}
}

// ReportingSession returns the session that last heard a host.
func (t *Tracker) ReportingSession(name view.HostName) (membership.Session, bool) {
	k, ok := t.hosts[name]
	if !ok || !k.announced {
		return membership.Session{}, false
	}
	return k.via, true
}

// Collect returns what changed since the last call. A lost host is forgotten.
func (t *Tracker) Collect(now clock.Moment) state.Observation {
	var o state.Observation
	o.Lost = t.lost(now)
	for name := range t.seen {
		o.Seen = append(o.Seen, t.hosts[name].known)
	}
	for name := range t.reports {
		k := t.hosts[name]
		if k.known.Kind == view.KindEngine {
			o.Reports = append(o.Reports, state.HostReport{Host: name, Status: k.status})
		}
	}
	clear(t.seen)
	clear(t.reports)
	slices.SortFunc(o.Seen, func(a, b view.Host) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(o.Reports, func(a, b state.HostReport) int { return cmp.Compare(a.Host, b.Host) })
	return o
}

// lost forgets hosts that were silent for too long and returns them.
func (t *Tracker) lost(now clock.Moment) []state.HostIncarnation {
	if now.Sub(t.lastGate) > t.timing.RefusedLostAfter {
		return nil
	}
	var lost []state.HostIncarnation
	for name, k := range t.hosts {
		silence := now.Sub(k.heard)
		if silence < t.timing.RefusedLostAfter || (!k.refused && silence < t.timing.LostAfter) {
			continue
		}
		lost = append(lost, state.HostIncarnation{Host: name, Incarnation: k.known.Incarnation})
		delete(t.hosts, name)
		delete(t.seen, name)
		delete(t.reports, name)
	}
	slices.SortFunc(lost, func(a, b state.HostIncarnation) int { return cmp.Compare(a.Host, b.Host) })
	return lost
}

// Requeue makes an observation that did not enter the log be told again. A lost
// host counts as known and silent.
func (t *Tracker) Requeue(o state.Observation) {
	for _, h := range o.Seen {
		if k, ok := t.hosts[h.Name]; ok && k.known.Incarnation == h.Incarnation {
			t.seen[h.Name] = struct{}{}
		}
	}
	for _, r := range o.Reports {
		if _, ok := t.hosts[r.Host]; ok {
			t.reports[r.Host] = struct{}{}
		}
	}
	for _, l := range o.Lost {
		if _, ok := t.hosts[l.Host]; !ok {
			t.hosts[l.Host] = &host{known: view.Host{Name: l.Host, Incarnation: l.Incarnation}}
		}
	}
}
