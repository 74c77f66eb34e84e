package gatedaemon

import (
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// source tells the keepers of this gate's work on targets.
type source struct {
	permits *permit.Local
}

// Uses implements gate.Source.
func (s *source) Uses() []view.TargetUse { return s.permits.Usage() }

// Settled implements gate.Source: the draining groups without work here.
func (s *source) Settled(v *view.View) []view.GroupID {
	var settled []view.GroupID
	for _, id := range v.Groups.Keys() {
		g, _ := v.Groups.Get(id)
		if g.Draining && s.idle(g) {
			settled = append(settled, id)
		}
	}
	return settled
}

// idle tells whether no request of this gate runs on a group.
func (s *source) idle(g view.Group) bool {
	target := view.GroupTarget(g.ID)
	for _, m := range g.Members {
		if _, inFlight := s.permits.Capacity(target, m.Incarnation); m.Rank == 0 && inFlight > 0 {
			return false
		}
	}
	return true
}
