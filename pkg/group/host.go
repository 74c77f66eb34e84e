package group

import (
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// host is an engine host as the machine knows it.
type host struct {
	Info        view.Host
	Present     bool      // seen and not lost since
	LostAt      view.Time // when it was lost last
	Reported    bool      // Status was reported since it was last seen
	Status      report.Status
	Role        role
	Guard       view.Revision // no other role before the barrier passed this
	Unsettled   bool          // orders are due, as reports disagree with Role
	DueSince    view.Time     // when orders became due
	OrdersEnded view.Time     // until when orders before NotBefore may have been given
	NotBefore   view.Time     // orders for Role are held until then
	Load        load
	Slow        bool
	Faults      faults
	VerifiedAt  view.Epoch // epoch of the last role that it reported ready
}

// free tells whether the host belongs to no group.
func (h *host) free() bool { return h.Role.Group == "" || h.Role.Spare != "" }

// cold tells whether the host is free and should hold no weights.
func (h *host) cold() bool { return h.Role.Group == "" }

// carriesRole tells whether the last report is of the host's role, in any
// phase.
func (h *host) carriesRole() bool {
	return h.Present && h.Reported && h.Role.reportedBy(h.Status)
}

// loaded tells whether the host has the weights of its role.
func (h *host) loaded() bool {
	return h.Present && h.Reported && h.Role.loadedBy(h.Status)
}

// ready tells whether the host reports its role as carried out.
func (h *host) ready() bool {
	return h.carriesRole() && h.Status.Phase == report.PhaseReady
}

// agrees tells whether no order is due.
func (h *host) agrees() bool {
	if !h.Present {
		return true
	}
	if h.cold() {
		return !h.Reported || h.Status.Group == ""
	}
	if !h.carriesRole() {
		return false
	}
	return h.Status.Phase == report.PhaseReady || !h.Load.allowed()
}
