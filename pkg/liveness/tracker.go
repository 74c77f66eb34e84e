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

// Timing holds the silence limits of upstream hosts.
type Timing struct {
	LostAfter        time.Duration // silence after which a host counts as lost
	RefusedLostAfter time.Duration // the same, for a host that refused or reset a connection
}

// hostState is the tracker's record of one upstream host.
type hostState struct {
	host      view.Host
	status    report.Status
	lastHeard clock.Moment
	reporter  membership.Session
	refused   bool
	announced bool // announced since this leader was elected
}

// Tracker tracks the liveness of upstream hosts. It is not safe for concurrent
// use.
type Tracker struct {
	timing          Timing
	hosts           map[view.HostName]*hostState
	changedHosts    map[view.HostName]struct{} // changed since the last Collect
	changedStatuses map[view.HostName]struct{} // status changed since the last Collect
	lastGateReport  clock.Moment
}

// NewTracker returns the tracker of a leader elected at now. Known hosts count as
// heard from at now, so that each has the full time to announce itself again.
func NewTracker(t Timing, now clock.Moment, known []view.Host) *Tracker {
	tr := &Tracker{
		timing:          t,
		hosts:           make(map[view.HostName]*hostState),
		changedHosts:    make(map[view.HostName]struct{}),
		changedStatuses: make(map[view.HostName]struct{}),
		lastGateReport:  now,
	}
	for _, h := range known {
		tr.hosts[h.Name] = &hostState{host: h, lastHeard: now}
	}
	return tr
}

// HandleAnnouncement records a host announcement that a gate received. It returns
// false when the gate must send the announcement in full.
func (t *Tracker) HandleAnnouncement(now clock.Moment, via membership.Session, h control.HostContact) bool {
	at := now.Add(-time.Duration(h.AgeMillis) * time.Millisecond)
	k, ok := t.hosts[h.Host]
	if ok && t.isStale(at, k, h.Incarnation) {
		return true
	}
	if h.Announcement == nil {
		if !ok || k.host.Incarnation != h.Incarnation || !k.announced {
			return false
		}
		k.markHeard(at, via)
		return true
	}
	t.applyAnnouncement(at, via, h)
	return true
}

// isStale reports whether an announcement comes from an earlier incarnation than
// the one that is up.
func (t *Tracker) isStale(at clock.Moment, k *hostState, inc view.Incarnation) bool {
	return inc < k.host.Incarnation && at.Sub(k.lastHeard) < t.timing.LostAfter
}

func (t *Tracker) applyAnnouncement(at clock.Moment, via membership.Session, h control.HostContact) {
	a := h.Announcement
	k, ok := t.hosts[h.Host]
	if !ok || k.host.Incarnation != h.Incarnation {
		k = &hostState{}
		t.hosts[h.Host] = k
	}
	if at < k.lastHeard {
		return
	}
	announced := a.Host
	announced.Drained = false
	previous := k.host
	previous.Drained = false
	if previous != announced {
		k.host = announced
		t.changedHosts[h.Host] = struct{}{}
	}
	if !k.announced || !reflect.DeepEqual(k.status, a.Status) {
		k.status = a.Status
		t.changedStatuses[h.Host] = struct{}{}
	}
	k.announced = true
	k.markHeard(at, via)
}

func (k *hostState) markHeard(at clock.Moment, via membership.Session) {
	if at < k.lastHeard {
		return
	}
	k.lastHeard = at
	k.reporter = via
	k.refused = false
}

// HandleGateReport records that a gate has reported. While no gate reports, the
// liveness of hosts is unknown.
func (t *Tracker) HandleGateReport(now clock.Moment) {
	if now.Sub(t.lastGateReport) > t.timing.RefusedLostAfter {
		t.creditSilence(now, now.Sub(t.lastGateReport))
	}
	t.lastGateReport = now
}

// creditSilence extends every host's time by the period in which no gate reported.
func (t *Tracker) creditSilence(now clock.Moment, silence time.Duration) {
	for _, k := range t.hosts {
		k.lastHeard = min(now, k.lastHeard.Add(silence))
	}
}

// HandleRefusal records that a host refused or reset a gate's connection.
func (t *Tracker) HandleRefusal(g control.UnreachableHost) {
	k, ok := t.hosts[g.Host]
	if ok && k.host.Incarnation == g.Incarnation {
		k.refused = true
	}
}

// ReportingSession returns the gate session that reported a host last.
func (t *Tracker) ReportingSession(name view.HostName) (membership.Session, bool) {
	k, ok := t.hosts[name]
	if !ok || !k.announced {
		return membership.Session{}, false
	}
	return k.reporter, true
}

// Collect returns the changes since the last call and removes lost hosts.
func (t *Tracker) Collect(now clock.Moment) state.Observation {
	var o state.Observation
	o.Lost = t.removeLost(now)
	for name := range t.changedHosts {
		o.Seen = append(o.Seen, t.hosts[name].host)
	}
	for name := range t.changedStatuses {
		k := t.hosts[name]
		if k.host.Kind == view.KindEngine {
			o.Reports = append(o.Reports, state.HostReport{Host: name, Status: k.status})
		}
	}
	clear(t.changedHosts)
	clear(t.changedStatuses)
	slices.SortFunc(o.Seen, func(a, b view.Host) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(o.Reports, func(a, b state.HostReport) int { return cmp.Compare(a.Host, b.Host) })
	return o
}

// removeLost removes the hosts that were silent for too long and returns them. It
// removes none while no gate reports.
func (t *Tracker) removeLost(now clock.Moment) []state.HostIncarnation {
	if now.Sub(t.lastGateReport) > t.timing.RefusedLostAfter {
		return nil
	}
	var lost []state.HostIncarnation
	for name, k := range t.hosts {
		silence := now.Sub(k.lastHeard)
		if silence < t.timing.RefusedLostAfter || (!k.refused && silence < t.timing.LostAfter) {
			continue
		}
		lost = append(lost, state.HostIncarnation{Host: name, Incarnation: k.host.Incarnation})
		delete(t.hosts, name)
		delete(t.changedHosts, name)
		delete(t.changedStatuses, name)
	}
	slices.SortFunc(lost, func(a, b state.HostIncarnation) int { return cmp.Compare(a.Host, b.Host) })
	return lost
}

// Requeue schedules an observation that did not enter the log for the next
// Collect. A lost host becomes known again, as silent.
func (t *Tracker) Requeue(o state.Observation) {
	for _, h := range o.Seen {
		if k, ok := t.hosts[h.Name]; ok && k.host.Incarnation == h.Incarnation {
			t.changedHosts[h.Name] = struct{}{}
		}
	}
	for _, r := range o.Reports {
		if _, ok := t.hosts[r.Host]; ok {
			t.changedStatuses[r.Host] = struct{}{}
		}
	}
	for _, l := range o.Lost {
		if _, ok := t.hosts[l.Host]; !ok {
			t.hosts[l.Host] = &hostState{host: view.Host{Name: l.Host, Incarnation: l.Incarnation}}
		}
	}
}
