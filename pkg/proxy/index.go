package proxy

import (
	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// index is a view in force, indexed for routing.
type index struct {
	view   *view.View
	models map[string][]destination // keyed by model group
	byID   map[view.GroupID]int     // positions in all, for allows
	all    []destination
	keys   *access.Keys
}

// destination is one group of a model group, with its head and its permit share.
type destination struct {
	target view.TargetID
	group  view.Group
	head   view.Member
	share  view.Share
}

func newIndex(v *view.View, self view.GateName) *index {
	x := &index{
		view:   v,
		models: make(map[string][]destination),
		byID:   make(map[view.GroupID]int),
		keys:   access.KeysOf(v),
	}
	for _, id := range v.Groups.Keys() {
		g, _ := v.Groups.Get(id)
		p, ok := newDestination(v, g)
		if !ok {
			continue
		}
		x.byID[id] = len(x.all)
		x.all = append(x.all, p)
		x.models[g.ModelGroup] = append(x.models[g.ModelGroup], p)
	}
	return x
}

func newDestination(v *view.View, g view.Group) (destination, bool) {
	t := view.GroupTarget(g.ID)
	s, _ := v.Shares.Get(t)
	for _, m := range g.Members {
		if m.Rank == 0 {
			return destination{target: t, group: g, head: m, share: s}, true
		}
	}
	return destination{}, false
}

// allows reports whether a group still takes work with the same epoch and head as when it
// was chosen.
func (x *index) allows(chosen *destination) bool {
	i, ok := x.byID[chosen.group.ID]
	if !ok {
		return false
	}
	now := &x.all[i]
	return now.group.Epoch == chosen.group.Epoch &&
		now.group.State == view.StateServing &&
		!now.group.Draining &&
		now.head.Incarnation == chosen.head.Incarnation &&
		now.share.Incarnation == chosen.head.Incarnation
}
