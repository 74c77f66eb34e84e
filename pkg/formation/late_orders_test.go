package formation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// restart starts a host again under its ID. The new incarnation knows nothing of before.
func (s *simulation) restart(h *simHost) {
	h.StartedMS = int64(s.now / time.Millisecond)
	h.Assignment, h.LastGroup, h.lastModel, h.staging, h.members = nil, "", "", "", nil
	h.openAt, h.joinUntil, h.stageUntil = 0, 0, 0
	h.highestEpoch, h.begunOrders, h.highestTerm, h.sequence = 0, 0, 0, 0
	h.reports = nil
	delete(s.delivered, h.ID)
	s.announcements = slices.DeleteFunc(s.announcements, func(a delayedAnnouncement) bool { return a.upstream.ID == h.ID })
	s.announce(h)
}

// disturb runs the simulation while orders are executed late, announcements overtake each other,
// and hosts die, are replaced, leave or are cut off from the planner while their requests go on.
func (s *simulation) disturb(rounds int) {
	s.maxAnnounceDelay = 300 * time.Millisecond
	s.delayProbability = 0.35
	for range rounds {
		if s.restarts && s.rand.IntN(8) == 0 {
			hs := s.hostsByID()
			if h := hs[s.rand.IntN(len(hs))]; !h.dead {
				s.restart(h)
			}
		}
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

// playLateOrders disturbs groups of two hosts.
func playLateOrders(t *testing.T, seed uint64, fenced, restarts bool) {
	s := newSimulation(t, seed, catalog.Model{
		Name: "small", GroupSize: 2, Share: 1, Pace: 0.6, LoadTime: 12 * time.Second, WarmTime: 1100 * time.Millisecond,
	})
	s.fenced, s.restarts = fenced, restarts
	s.newPlanner()
	s.delayProbability = 0.35
	s.addDomains(2, 6, 1)
	s.run(8 * time.Second)
	s.planner.TrafficStarted(s.now)
	s.planner.SetLoad(map[string]float64{"small": 12})
	s.disturb(80)
}

// A join that is executed late puts a host back into the group that it has left. It must not be
// joined to another group while the head of the first one, which is cut off, still serves.
func TestHostThatALateOrderPutBackIntoItsGroupLeavesItFirst(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playLateOrders(t, seed, false, false) })
	}
}

// Hosts that refuse orders of former leaderships once they follow a new one forget that when they start
// again, and may then carry out joins that were meant for their former incarnation.
func TestLateOrdersAmongRestartsOfFencedHosts(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playLateOrders(t, seed, true, true) })
	}
}

// A host that has followed a new leader joins groups without being asked whether it is free, until it
// starts again.
func TestFencedHostsJoinWithoutAQuestionUnderANewLeader(t *testing.T) {
	for _, c := range []struct{ fenced, restarts, want bool }{{true, false, false}, {true, true, true}, {false, false, true}} {
		s := newSimulation48(t, 7)
		s.fenced = c.fenced
		s.replaceLeader()
		s.planner.SetLoad(map[string]float64{"large": 4.5, "small": 4})
		for i, h := range s.hostsByID() {
			if h.IsOpenHead() && i%2 == 0 {
				s.kill(h)
			}
		}
		s.run(3 * time.Second)
		if c.restarts {
			for _, h := range s.hostsByID() {
				if !h.dead {
					s.restart(h)
				}
			}
		}
		s.run(lateOrderTime - 4*time.Second)
		if asked := s.askedIfFree > 0; asked != c.want {
			t.Errorf("fenced %v, restarts %v: %d joins of hosts that were asked whether they are free", c.fenced, c.restarts, s.askedIfFree)
		}
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
