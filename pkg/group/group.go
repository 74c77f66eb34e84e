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
	Weights       int64 // bytes that each member fetches
	FabricDomain  string
	FailureDomain string
	Seats         []seat // by rank

	NextEpoch view.Epoch // of the hosts being prepared, 0 if none
	Cause     Cause
	Since     view.Time     // when State began
	LeftAt    view.Revision // when it last stopped taking work
	Out       bool          // a member was taken out by an operator or is leaving
	Retarget  bool          // it drains to change its version or adapters
	Switching bool          // it drains to take over prepared hosts
	Doubtful  bool          // it is not expected back soon; a replacement may be formed
	DrainedAt view.Time     // when it began to drain
	Settled   bool          // nothing runs on it since it drains
	Served    bool          // it has served at some epoch

	changed bool  // to be published at the end of the step
	counted tally // its part in the model's tally
}

// takesWork tells whether gates give it new work.
func (g *group) takesWork() bool {
	return g.State == view.StateServing && !g.draining()
}

// draining tells whether it is to take no new work while its members work.
func (g *group) draining() bool {
	return g.Out || g.Retarget || g.Switching || g.State == view.StateDissolving
}

// role is what the member of a rank should run at an epoch.
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

// published is the group as gates see it.
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
	for rank, s := range g.Seats {
		if s.vacant() {
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
