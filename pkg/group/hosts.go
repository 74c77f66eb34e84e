package group

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// drained reports whether the host may not take new work because an operator drained it or because
// it is leaving.
func (m *Machine) drained(h *host) bool {
	if m.opts.Unsafe.IgnoreDrains {
		return false
	}
	return h.Info.Drained || h.Info.Leaving ||
		m.drains[drainKey{view.DrainUpstream, string(h.Info.Name)}] ||
		m.drains[drainKey{view.DrainFailureDomain, h.Info.FailureDomain}]
}

// available reports whether a host without a role may get one.
func (m *Machine) available(h *host) bool {
	return m.usable(h) && !h.Faults.damped(m.now)
}

// usable reports whether a host without a role could get one if necessary, even if it fails often.
func (m *Machine) usable(h *host) bool {
	return h.Present && h.Reported && !h.Slow && !m.drained(h) && m.barrierReached(h.RoleBarrier)
}

// countHost adds the host to, or removes it from, the count of available hosts.
func (m *Machine) countHost(h *host, sign int) {
	if h.Present && !m.drained(h) {
		m.availableHosts += sign
	}
}

func (m *Machine) enterDomain(h *host) {
	name := h.Info.FabricDomain
	d := m.domains[name]
	if d == nil {
		d = &domain{
			name:          name,
			failureDomain: h.Info.FailureDomain,
			hosts:         make(map[view.HostName]*host),
			free:          make(map[view.HostName]*host),
			groups:        make(map[view.GroupID]*group),
		}
		m.domains[name] = d
	}
	d.hosts[h.Info.Name] = h
	if h.free() {
		d.free[h.Info.Name] = h
	}
}

func (m *Machine) leaveDomain(h *host) {
	d := m.domains[h.Info.FabricDomain]
	delete(d.hosts, h.Info.Name)
	delete(d.free, h.Info.Name)
}

// setRole assigns another role to a host, effective with the next order. That order is held back
// until no order for the previous role can still arrive, unless the engine checks fencing numbers.
// An order that is due but not sent yet counts as sent now, because a deposed leader may still
// send it from the present state.
func (m *Machine) setRole(h *host, r role) {
	was := h.Role
	if h.OrderDue {
		h.LastOrderAt = m.now
	}
	if !h.Info.ChecksFence && !m.opts.Unsafe.NoOrderDelay && h.LastOrderAt != 0 && r.Group != "" {
		h.OrderNotBefore = max(h.OrderNotBefore, h.LastOrderAt+view.Time(m.opts.MaxOrderDelay))
	}
	m.cancelLoad(h, r)
	m.leaveQueue(h)
	h.Role = r
	h.OrderDueSince = m.now
	if r.Group != "" && h.Load.Phase == loadNone && !(h.Reported && r.loadedBy(h.Status)) {
		h.Load = load{Phase: loadWaiting, Since: m.now}
	}
	m.enterQueue(h)
	m.indexRole(h, was)
	m.refreshHost(h)
}

// release withdraws a host's role. stopRevision is the revision at which its group stopped taking
// work.
func (m *Machine) release(h *host, stopRevision view.Revision) {
	h.RoleBarrier = max(h.RoleBarrier, stopRevision)
	h.Slow = false
	if r, ok := m.retainedSpareRole(h); ok {
		m.setSpare(h, r)
		return
	}
	m.setRole(h, role{Epoch: m.nextEpoch()})
}

// indexRole updates the indexes by role after a host's role changed.
func (m *Machine) indexRole(h *host, was role) {
	d := m.domains[h.Info.FabricDomain]
	if h.free() {
		d.free[h.Info.Name] = h
	} else {
		delete(d.free, h.Info.Name)
	}
	m.indexSpare(h)
	if was.Group != "" {
		m.markDirtyID(was.Group)
	}
	if h.Role.Group != "" {
		m.markDirtyID(h.Role.Group)
	}
}

// refreshHost updates what follows from a host's report: whether an order is due and the progress
// of its load.
func (m *Machine) refreshHost(h *host) {
	if h.cold() && h.Present && h.Reported && h.Status.Group != "" && h.Role.Epoch <= h.Status.Epoch {
		h.Role.Epoch = m.nextEpoch()
	}
	if h.ready() {
		h.VerifiedEpoch = h.Role.Epoch
	}
	m.trackLoad(h)
	m.indexRunning(h)
	due := !h.inSync()
	if h.OrderDue && !due {
		h.LastOrderAt = m.now
	}
	if due && !h.OrderDue {
		h.OrderDueSince = m.now
	}
	h.OrderDue = due
	if due {
		m.ordersDue[h.Info.Name] = h
	} else {
		delete(m.ordersDue, h.Info.Name)
	}
}

// trackLoad records the end of a host's load.
func (m *Machine) trackLoad(h *host) {
	if h.cold() || h.Load.Phase == loadNone || h.Load.Phase == loadDone || !h.loaded() {
		return
	}
	m.leaveQueue(h)
	m.account.LoadsDone++
	h.Load = load{Phase: loadDone, Since: m.now}
}

// cancelLoad ends a host's load if its next role does not need the weights.
func (m *Machine) cancelLoad(h *host, next role) {
	if h.Load.Phase == loadNone {
		return
	}
	same := next.sameWeights(h.Role)
	if same && h.Load.Phase != loadWaiting {
		return
	}
	if h.Load.Phase != loadWaiting {
		m.account.LoadsWasted++
	}
	m.leaveQueue(h)
	h.Load = load{}
}

// orderOverdue reports whether a host has not carried out its order for too long.
func (m *Machine) orderOverdue(h *host) bool {
	if !h.OrderDue || h.Load.Phase == loadWaiting || h.Load.Phase == loadRunning {
		return false
	}
	since := max(h.OrderDueSince, h.OrderNotBefore)
	return time.Duration(m.now-since) > orderTimeout
}

// loadOverdue reports whether a load takes far longer than expected.
func (m *Machine) loadOverdue(h *host, weights int64) bool {
	if h.Load.Phase != loadRunning {
		return false
	}
	shared := max(1, len(m.loadingHosts)/m.opts.slots())
	bound := loadTimeoutBase + loadTimeoutFactor*time.Duration(shared)*m.opts.loadTime(weights)
	return time.Duration(m.now-h.Load.Since) > bound
}

const (
	orderTimeout      = time.Minute
	loadTimeoutBase   = 30 * time.Second
	loadTimeoutFactor = 3
)

// failed reports whether the host says that it can't carry out its role.
func (h *host) failed() bool {
	return h.reportsRole() && h.Status.Phase == report.PhaseFailed
}
