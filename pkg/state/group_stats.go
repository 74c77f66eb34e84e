package state

import "github.com/sesamemux/sesamemux/pkg/group"

// GroupStats returns the statistics of the group machine.
func (s *State) GroupStats() group.Stats { return s.groups.Stats() }
