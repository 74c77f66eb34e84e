package engine

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// role is what the member was ordered to be.
type role struct {
	group    view.GroupID
	epoch    view.Epoch
	version  string
	adapters []string
	rank     int
	peers    []string
	phase    report.Phase
	allowed  bool  // may fetch weights
	left     int64 // bytes to fetch
}

func roleOf(o order.Order) role {
	return role{
		group:    o.Group,
		epoch:    o.Fence,
		version:  o.Version,
		adapters: slices.Clone(o.Adapters),
		rank:     o.Rank,
		peers:    slices.Clone(o.Peers),
		phase:    report.PhaseLoading,
		allowed:  o.LoadAllowed,
		left:     o.WeightsBytes,
	}
}

// same tells whether an order repeats the role.
func (r *role) same(o order.Order) bool {
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
