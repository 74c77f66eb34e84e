package gatedaemon

import (
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// workSource implements gate.WorkSource.
type workSource struct {
	permits *permit.Local
}

// Uses implements gate.WorkSource.
func (s *workSource) Uses() []view.TargetUse { return s.permits.Usage() }

// Settled implements gate.WorkSource: it returns the draining groups without requests of
// this gate.
func (s *workSource) Settled(v *view.View) []view.GroupID {
	var settled []view.GroupID
	for _, id := range v.Groups.Keys() {
		g, _ := v.Groups.Get(id)
		if g.Draining && s.idle(g) {
			settled = append(settled, id)
		}
	}
	return settled
}

// idle reports whether no request of this gate is running on a group.
func (s *workSource) idle(g view.Group) bool {
	target := view.GroupTarget(g.ID)
	for _, m := range g.Members {
		if _, inFlight := s.permits.Capacity(target, m.Incarnation); m.Rank == 0 && inFlight > 0 {
			return false
		}
	}
	return true
}
