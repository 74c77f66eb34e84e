package formation

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// phase is a group's place in its life.
type phase uint8

const (
	forming  phase = iota // members are joining
	opening               // all were ready; the head was told to open
	standing              // the head serves
	draining              // no new requests; running ones end
	retiring              // members are told to leave
)

// group is one replica of a model.
type group struct {
	name     string
	epoch    int64
	model    string
	members  []*host // the head first
	phase    phase
	since    time.Duration // of the phase
	deadline time.Duration // of forming and draining
	ready    map[string]bool
	reason   string         // why it is taken apart
	gives    map[string]int // groups of other models that its hosts will form, where it is given up for them
}

func (g *group) head() *host { return g.members[0] }

func (g *group) memberIDs() []string {
	ids := make([]string, len(g.members))
	for i, m := range g.members {
		ids[i] = m.ID
	}
	return ids
}

// seatOf returns a host's seat if it is in this group.
func (g *group) seatOf(h *host) *fleet.Assignment {
	if h.Assignment != nil && h.Assignment.Group == g.name && h.Assignment.Epoch == g.epoch {
		return h.Assignment
	}
	return nil
}

// drain takes the group out of service while its running requests end.
func (g *group) drain(now time.Duration, reason string) {
	g.phase = draining
	g.since = now
	g.deadline = now + drainLimit
	g.reason = reason
}
