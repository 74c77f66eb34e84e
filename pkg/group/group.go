package group

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// group is one instance of a model group.
type group struct {
	ID            view.GroupID
	Model         string
	Epoch         view.Epoch
	State         view.GroupState
	Version       string
	Adapters      []string
	Weights       int64 // bytes that each member loads
	FabricDomain  string
	FailureDomain string
	Ranks         []rankSlot `msgpack:"Seats"` // by rank

	PreparedEpoch   view.Epoch `msgpack:"NextEpoch"` // of the prepared hosts; 0 if there are none
	Cause           Cause
	Since           view.Time     // when State was entered
	StopRevision    view.Revision `msgpack:"LeftAt"`   // revision at which it last stopped taking work
	MemberDrained   bool          `msgpack:"Out"`      // a member is drained by an operator or is leaving
	Updating        bool          `msgpack:"Retarget"` // draining to change its version or adapters
	Switching       bool          // draining to switch to prepared hosts
	RecoveryBlocked bool          `msgpack:"Doubtful"` // not expected back soon; a replacement group may be formed
	DrainedAt       view.Time     // when it started to drain
	Settled         bool          // no work runs on it since it started to drain
	Served          bool          // has served at some epoch

	changed bool   // must be published at the end of the step
	counted counts // its contribution to the model's counts
}

// takesWork reports whether gates give the group new work.
func (g *group) takesWork() bool {
	return g.State == view.StateServing && !g.draining()
}

// draining reports whether the group must take no new work although its members may work.
func (g *group) draining() bool {
	return g.MemberDrained || g.Updating || g.Switching || g.State == view.StateDissolving
}

// role returns what the member of a rank should run at an epoch.
func (g *group) role(rank int, epoch view.Epoch) role {
	return role{
		Group:    g.ID,
		Epoch:    epoch,
		Version:  g.Version,
		Adapters: g.Adapters,
		Rank:     rank,
		Weights:  g.Weights,
	}
}

// published returns the group as gates see it.
func (g *group) published() view.Group {
	v := view.Group{
		ID:            g.ID,
		ModelGroup:    g.Model,
		Epoch:         g.Epoch,
		State:         g.State,
		Version:       g.Version,
		Adapters:      slices.Clone(g.Adapters),
		FabricDomain:  g.FabricDomain,
		FailureDomain: g.FailureDomain,
		Draining:      g.draining(),
	}
	for rank, s := range g.Ranks {
		if s.empty() {
			continue
		}
		v.Members = append(v.Members, view.Member{
			Host:        s.Host,
			Incarnation: s.Incarnation,
			Address:     s.Address,
			Rank:        rank,
		})
	}
	return v
}
