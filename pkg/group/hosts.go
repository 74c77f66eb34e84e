package group

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// out tells whether the host may not take new work by an operator's or its
// own wish.
func (m *Machine) out(h *host) bool {
	if m.opts.Unsafe.IgnoreDrains {
		return false
	}
	return h.Info.Drained || h.Info.Leaving ||
		m.drains[drainKey{view.DrainUpstream, string(h.Info.Name)}] ||
		m.drains[drainKey{view.DrainFailureDomain, h.Info.FailureDomain}]
}

// available tells whether a host without a role may get one.
func (m *Machine) available(h *host) bool {
	return m.usable(h) && !h.Faults.damped(m.now)
}

// usable tells whether a host without a role could have one, if need be
// although it failed often.
func (m *Machine) usable(h *host) bool {
	return h.Present && h.Reported && !h.Slow && !m.out(h) && m.passed(h.Guard)
}

// countHost adds or takes a host out of the count of those that could work.
func (m *Machine) countHost(h *host, sign int) {
	if h.Present && !m.out(h) {
		m.present += sign
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

// setRole gives a host another role, from the next order on. No order is
// given before the last one for the role before can't arrive any more, unless
// the engine refuses it. An order that is not given yet counts too, as a
// deposed leader may give it a little later from the state of now.
func (m *Machine) setRole(h *host, r role) {
	was := h.Role
	if h.Unsettled {
		h.OrdersEnded = m.now
	}
	if !h.Info.ChecksFence && !m.opts.Unsafe.NoOrderDelay && h.OrdersEnded != 0 && r.Group != "" {
		h.NotBefore = max(h.NotBefore, h.OrdersEnded+view.Time(m.opts.MaxOrderDelay))
	}
	m.dropLoad(h, r)
	m.leaveQueue(h)
	h.Role = r
	h.DueSince = m.now
	if r.Group != "" && h.Load.Phase == loadNone && !(h.Reported && r.loadedBy(h.Status)) {
		h.Load = load{Phase: loadWaiting, Since: m.now}
	}
	m.enterQueue(h)
	m.indexRole(h, was)
	m.refreshHost(h)
}

// release takes a host's role away. guard is the revision at which its group
// stopped taking work.
func (m *Machine) release(h *host, guard view.Revision) {
	h.Guard = max(h.Guard, guard)
	h.Slow = false
	if r, ok := m.spareRole(h); ok {
		m.setSpare(h, r)
		return
	}
	m.setRole(h, role{Epoch: m.nextEpoch()})
}

// indexRole keeps the indexes by role in step with a host's role.
func (m *Machine) indexRole(h *host, was role) {
	d := m.domains[h.Info.FabricDomain]
	if h.free() {
		d.free[h.Info.Name] = h
	} else {
		delete(d.free, h.Info.Name)
	}
	m.indexSpare(h)
	if was.Group != "" {
		m.touchID(was.Group)
	}
	if h.Role.Group != "" {
		m.touchID(h.Role.Group)
	}
}

// refreshHost follows a host's report: whether orders are due to it, and how
// far its load is.
func (m *Machine) refreshHost(h *host) {
	if h.cold() && h.Present && h.Reported && h.Status.Group != "" && h.Role.Epoch <= h.Status.Epoch {
		h.Role.Epoch = m.nextEpoch()
	}
	if h.ready() {
		h.VerifiedAt = h.Role.Epoch
	}
	m.followLoad(h)
	m.indexRunning(h)
	due := !h.agrees()
	if h.Unsettled && !due {
		h.OrdersEnded = m.now
	}
	if due && !h.Unsettled {
		h.DueSince = m.now
	}
	h.Unsettled = due
	if due {
		m.unsettled[h.Info.Name] = h
	} else {
		delete(m.unsettled, h.Info.Name)
	}
}

// followLoad notes the end of a host's load.
func (m *Machine) followLoad(h *host) {
	if h.cold() || h.Load.Phase == loadNone || h.Load.Phase == loadDone || !h.loaded() {
		return
	}
	m.leaveQueue(h)
	m.account.LoadsDone++
	h.Load = load{Phase: loadDone, Since: m.now}
}

// dropLoad ends a host's load as its role changes to another that does not
// need it.
func (m *Machine) dropLoad(h *host, next role) {
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

// orderOverdue tells whether a host does not do for long what it is ordered.
func (m *Machine) orderOverdue(h *host) bool {
	if !h.Unsettled || h.Load.Phase == loadWaiting || h.Load.Phase == loadRunning {
		return false
	}
	since := max(h.DueSince, h.NotBefore)
	return time.Duration(m.now-since) > orderPatience
}

// loadOverdue tells whether a host fetches far longer than it should.
func (m *Machine) loadOverdue(h *host, weights int64) bool {
	if h.Load.Phase != loadRunning {
		return false
	}
	shared := max(1, len(m.running)/m.opts.slots())
	bound := loadPatience + loadPatienceFactor*time.Duration(shared)*m.opts.loadTime(weights)
	return time.Duration(m.now-h.Load.Since) > bound
}

const (
	orderPatience      = time.Minute
	loadPatience       = 30 * time.Second
	loadPatienceFactor = 3
)

// failed tells whether the host reports that it can't carry out its role.
func (h *host) failed() bool {
	return h.carriesRole() && h.Status.Phase == report.PhaseFailed
}
