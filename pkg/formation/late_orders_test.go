package formation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// disturb runs the simulation while orders are executed late, announcements overtake each other,
// and hosts die, are replaced, leave or are cut off from the planner while their requests go on.
func (s *simulation) disturb(rounds int) {
	s.maxAnnounceDelay = 300 * time.Millisecond
	s.delayProbability = 0.35
	for range rounds {
		hs := slices.DeleteFunc(s.hostsByID(), func(h *simHost) bool { return h.dead })
		h := hs[s.rand.IntN(len(hs))]
		switch s.rand.IntN(8) {
		case 0:
			s.kill(h)
			s.addHost(h.FabricDomain, h.Zone)
		case 1:
			h.State = fleet.Draining
			s.announce(h)
			s.run(time.Second)
			s.kill(h)
			s.addHost(h.FabricDomain, h.Zone)
		case 2:
			s.replaceLeader()
		default:
			h.cutUntil = s.now + time.Duration(2+s.rand.IntN(9))*time.Second
		}
		s.run(time.Duration(200+s.rand.IntN(1500)) * time.Millisecond)
	}
}

// A join that is executed late puts a host back into the group that it has left. It must not be
// joined to another group while the head of the first one, which is cut off, still serves.
func TestHostThatALateOrderPutBackIntoItsGroupLeavesItFirst(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSimulation(t, seed, catalog.Model{
				Name: "small", GroupSize: 2, Share: 1, Pace: 0.6, LoadTime: 12 * time.Second, WarmTime: 1100 * time.Millisecond,
			})
			s.delayProbability = 0.35
			s.addDomains(2, 6, 1)
			s.run(8 * time.Second)
			s.planner.TrafficStarted(s.now)
			s.planner.SetLoad(map[string]float64{"small": 12})
			s.disturb(80)
		})
	}
}

// A host that does not report how many orders it has begun was given no joins any more once one was not
// answered, or under a new leader.
func TestHostsWithoutReportsJoinOnceNoLateOrderIsLeft(t *testing.T) {
	var served []int
	for _, noReports := range []bool{false, true} {
		s := newSimulation48(t, 7)
		s.noReports = noReports
		s.replaceLeader()
		s.planner.SetLoad(map[string]float64{"large": 4.5, "small": 4})
		for i, h := range s.hostsByID() {
			if h.IsOpenHead() && i%2 == 0 {
				s.kill(h)
			}
		}
		s.run(lateOrderTime + time.Minute)
		n := s.servingGroups()
		served = append(served, n["large"]+n["small"])
	}
	if served[1] < served[0] {
		t.Errorf("%d groups serve, %d of hosts with reports", served[1], served[0])
	}
}
