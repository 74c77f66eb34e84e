package formation

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// phase is a phase in the life cycle of a group.
type phase uint8

const (
	forming  phase = iota // members are joining
	opening               // all members were ready; the head was told to open
	standing              // the head serves requests
	draining              // no new requests; running ones complete
	retiring              // members are ordered to leave
)

// group is a set of hosts that serves one copy of a model.
type group struct {
	name          string
	epoch         int64
	model         string
	members       []*host // the head first
	phase         phase
	since         time.Duration // start of the phase
	deadline      time.Duration // while forming or draining
	ready         map[string]bool
	retireReason  string
	plannedGroups map[string]int // groups by model that its hosts will form, if it is exchanged for them
}

func (g *group) head() *host { return g.members[0] }

func (g *group) memberIDs() []string {
	ids := make([]string, len(g.members))
	for i, m := range g.members {
		ids[i] = m.ID
	}
	return ids
}

// seatOf returns the seat of a host that has joined this group, otherwise nil.
func (g *group) seatOf(h *host) *fleet.Assignment {
	if h.Assignment != nil && h.Assignment.Group == g.name && h.Assignment.Epoch == g.epoch {
		return h.Assignment
	}
	return nil
}

// startDraining takes the group out of service once its running requests have completed.
func (g *group) startDraining(now time.Duration, reason string) {
	g.phase = draining
	g.since = now
	g.deadline = now + drainTimeout
	g.retireReason = reason
}
