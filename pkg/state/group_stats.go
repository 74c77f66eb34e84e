package state

import "github.com/sesamemux/sesamemux/pkg/group"

// GroupStats tells how groups fare.
func (s *State) GroupStats() group.Stats { return s.groups.Stats() }
