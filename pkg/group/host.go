package group

import (
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// host is the machine's state of an engine host.
type host struct {
	Info           view.Host
	Present        bool      // seen, and not lost since then
	LostAt         view.Time // when it was last lost
	Reported       bool      // Status was reported after it was last seen
	Status         report.Status
	Role           role
	RoleBarrier    view.Revision `msgpack:"Guard"`       // no other role until the barrier has passed this revision
	OrderDue       bool          `msgpack:"Unsettled"`   // an order is due because the reports disagree with Role
	OrderDueSince  view.Time     `msgpack:"DueSince"`    // when the order became due
	LastOrderAt    view.Time     `msgpack:"OrdersEnded"` // latest time at which an order for an earlier role may have been sent
	OrderNotBefore view.Time     `msgpack:"NotBefore"`   // orders for Role are held back until then
	Load           load
	Slow           bool
	Faults         faults
	VerifiedEpoch  view.Epoch `msgpack:"VerifiedAt"` // epoch of the last role that it reported as ready
}

// free reports whether the host belongs to no group.
func (h *host) free() bool { return h.Role.Group == "" || h.Role.Spare != "" }

// cold reports whether the host is free and should hold no weights.
func (h *host) cold() bool { return h.Role.Group == "" }

// reportsRole reports whether the last report is of the host's role, in any phase.
func (h *host) reportsRole() bool {
	return h.Present && h.Reported && h.Role.reportedBy(h.Status)
}

// loaded reports whether the host has the weights of its role.
func (h *host) loaded() bool {
	return h.Present && h.Reported && h.Role.loadedBy(h.Status)
}

// ready reports whether the host has reported its role as carried out.
func (h *host) ready() bool {
	return h.reportsRole() && h.Status.Phase == report.PhaseReady
}

// inSync reports whether no order is due.
func (h *host) inSync() bool {
	if !h.Present {
		return true
	}
	if h.cold() {
		return !h.Reported || h.Status.Group == ""
	}
	if !h.reportsRole() {
		return false
	}
	return h.Status.Phase == report.PhaseReady || !h.Load.allowed()
}
