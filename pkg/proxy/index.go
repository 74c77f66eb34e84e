package proxy

import (
	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// index is a view in force, ordered for choices.
type index struct {
	view   *view.View
	models map[string][]place   // by model group
	byID   map[view.GroupID]int // epoch check; index into all
	all    []place
	keys   *access.Keys
}

// place is one group of a model group.
type place struct {
	target view.TargetID
	group  view.Group
	head   view.Member
	share  view.Share
}

func newIndex(v *view.View, self view.GateName) *index {
	x := &index{
		view:   v,
		models: make(map[string][]place),
		byID:   make(map[view.GroupID]int),
		keys:   access.KeysOf(v),
	}
	for _, id := range v.Groups.Keys() {
		g, _ := v.Groups.Get(id)
		p, ok := newPlace(v, g)
		if !ok {
			continue
		}
		x.byID[id] = len(x.all)
		x.all = append(x.all, p)
		x.models[g.ModelGroup] = append(x.models[g.ModelGroup], p)
	}
	return x
}

func newPlace(v *view.View, g view.Group) (place, bool) {
	t := view.GroupTarget(g.ID)
	s, _ := v.Shares.Get(t)
	for _, m := range g.Members {
		if m.Rank == 0 {
			return place{target: t, group: g, head: m, share: s}, true
		}
	}
	return place{}, false
}

// allows tells whether a group still takes work as it did when it was chosen.
func (x *index) allows(chosen *place) bool {
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
