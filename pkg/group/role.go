package group

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// role is what a host should run. An empty Group means nothing.
type role struct {
	Group    view.GroupID
	Spare    string // model group whose weights a free host holds; Group is then spareGroup(Spare)
	Epoch    view.Epoch
	Version  string
	Adapters []string
	Rank     int
	Weights  int64 // bytes to load
}

// spareGroup returns the group ID in orders to free hosts that hold weights. No group has this ID,
// because group IDs end in a number.
func spareGroup(model string) view.GroupID { return view.GroupID(model + "-spare") }

// reportedBy reports whether a status is of this role, in any phase.
func (r role) reportedBy(s report.Status) bool {
	return s.Group == r.Group &&
		s.Epoch == r.Epoch &&
		s.Version == r.Version &&
		s.Rank == r.Rank &&
		slices.Equal(s.Adapters, r.Adapters)
}

// loadedBy reports whether a status shows this role's weights in memory, under any group and
// epoch.
func (r role) loadedBy(s report.Status) bool {
	return s.Phase == report.PhaseReady && s.Version == r.Version && s.Rank == r.Rank
}

// sameWeights reports whether two roles need the same weights.
func (r role) sameWeights(o role) bool {
	return r.Group != "" && o.Group != "" && r.Version == o.Version && r.Rank == o.Rank
}
