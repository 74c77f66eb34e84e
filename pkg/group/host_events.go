package group

import (
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

func (m *Machine) hostSeen(v view.Host) {
	if v.Kind != view.KindEngine {
		return
	}
	h := m.hosts[v.Name]
	switch {
	case h == nil:
		m.addHost(v)
	case v.Incarnation == h.Info.Incarnation && v.FabricDomain == h.Info.FabricDomain:
		m.hostReturned(h, v)
	case m.opts.Unsafe.IgnoreIncarnation:
		m.hostReturned(h, v)
	default:
		m.hostRestarted(h, v)
	}
}

func (m *Machine) addHost(v view.Host) {
	h := &host{Info: v, Present: true}
	m.hosts[v.Name] = h
	m.enterDomain(h)
	m.countHost(h, 1)
	m.refreshHost(h)
}

// hostReturned takes a host in that is the same process as before.
func (m *Machine) hostReturned(h *host, v view.Host) {
	m.countHost(h, -1)
	if !h.Present {
		m.returns.RecordReturn(time.Duration(m.now - h.LostAt))
	}
	h.Info = v
	h.Present = true
	m.countHost(h, 1)
	m.refreshHost(h)
	m.touchID(h.Role.Group)
}

// hostRestarted takes a host in that lost all that it had, or that was moved
// to another fabric domain.
func (m *Machine) hostRestarted(h *host, v view.Host) {
	m.countHost(h, -1)
	if h.Present {
		h.Faults = h.Faults.add(m.now)
	} else {
		m.returns.RecordLoss()
	}
	h.Reported = false
	h.Status = report.Status{}
	if g := m.groups[h.Role.Group]; g != nil {
		m.unseat(g, h, CauseMemberRestarted)
	} else if h.Role.Spare != "" {
		m.release(h, 0)
	}
	m.leaveDomain(h)
	h.Info = v
	h.Present = true
	h.Slow = false
	m.enterDomain(h)
	m.countHost(h, 1)
	m.refreshHost(h)
}

func (m *Machine) hostLost(name view.HostName, incarnation view.Incarnation) {
	h := m.hosts[name]
	if h == nil || h.Info.Incarnation != incarnation || !h.Present {
		return
	}
	m.countHost(h, -1)
	h.Present = false
	h.Reported = false
	h.LostAt = m.now
	h.Faults = h.Faults.add(m.now)
	m.refreshHost(h)
	m.touchID(h.Role.Group)
}

func (m *Machine) statusReported(name view.HostName, s report.Status) {
	h := m.hosts[name]
	if h == nil || !h.Present {
		return
	}
	if s.Incarnation != h.Info.Incarnation && !m.opts.Unsafe.IgnoreIncarnation {
		return
	}
	if m.opts.Unsafe.NoReadBack && h.VerifiedAt != 0 && h.VerifiedAt == h.Role.Epoch {
		return
	}
	if m.opts.Unsafe.IgnoreEpoch && s.Group == h.Role.Group {
		s.Epoch = h.Role.Epoch
	}
	s.Adapters = sortedAdapters(s.Adapters)
	h.Status = s
	h.Reported = true
	m.keepWarm(h)
	m.refreshHost(h)
	m.touchID(h.Role.Group)
}

func (m *Machine) slownessSeen(e SlownessReported) {
	h := m.hosts[e.Host]
	if h == nil || h.Info.Incarnation != e.Incarnation {
		return
	}
	h.Slow = e.Slow
	m.touchID(h.Role.Group)
}

// NeedsReport tells whether a status heard from a host should be proposed as
// StatusReported, as the machine does not know it.
func (m *Machine) NeedsReport(name view.HostName, s report.Status) bool {
	h := m.hosts[name]
	if h == nil || h.Info.Incarnation != s.Incarnation {
		return false
	}
	if !h.Present || !h.Reported {
		return h.Present
	}
	k := h.Status
	same := k.Group == s.Group && k.Epoch == s.Epoch && k.Version == s.Version &&
		k.Rank == s.Rank && k.Phase == s.Phase
	return !same || !slices.Equal(k.Adapters, sortedAdapters(s.Adapters))
}

func sortedAdapters(a []string) []string {
	if len(a) == 0 {
		return nil
	}
	s := slices.Clone(a)
	slices.Sort(s)
	return s
}
