package engine

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// role is the role in a group that orders assigned to the member.
type role struct {
	group       view.GroupID
	epoch       view.Epoch
	version     string
	adapters    []string
	rank        int
	peers       []string
	phase       report.Phase
	loadAllowed bool  // loading weights is allowed
	bytesLeft   int64 // bytes of weights still to load
}

func newRole(o order.Order) role {
	return role{
		group:       o.Group,
		epoch:       o.Fence,
		version:     o.Version,
		adapters:    slices.Clone(o.Adapters),
		rank:        o.Rank,
		peers:       slices.Clone(o.Peers),
		phase:       report.PhaseLoading,
		loadAllowed: o.LoadAllowed,
		bytesLeft:   o.WeightsBytes,
	}
}

// matches reports whether an order repeats the current role.
func (r *role) matches(o order.Order) bool {
	return r.phase != report.PhaseIdle && r.phase != report.PhaseFailed &&
		r.group == o.Group && r.epoch == o.Fence && r.version == o.Version && r.rank == o.Rank
}

func (r *role) status(inc view.Incarnation) report.Status {
	return report.Status{
		Incarnation: inc,
		Group:       r.group,
		Epoch:       r.epoch,
		Version:     r.version,
		Adapters:    slices.Clone(r.adapters),
		Rank:        r.rank,
		Phase:       r.phase,
	}
}
