package formation

import (
	"testing"
	"time"
)

// replaceLeader lets a new planner take over that knows all hosts from the former one.
func (s *simulation) replaceLeader() {
	s.term++
	s.newPlanner()
	for _, h := range s.hostsByID() {
		s.planner.ObserveHost(s.now, h.Upstream, s.now)
	}
	s.planner.TrafficStarted(s.now)
}

// groupOf returns the hosts of a host's group.
func (s *simulation) groupOf(h *simHost) []*simHost {
	var hs []*simHost
	for _, id := range h.members {
		hs = append(hs, s.hosts[id])
	}
	return hs
}

// A host announces itself every 1.2 s and may be silent for 1.6 s when the next announcement is due.
// A new leader dissolved its group after 2.5 s.
func TestNewLeaderWaitsForASilentMember(t *testing.T) {
	for rank := range 4 {
		s := newSimulation48(t, 4)
		s.planner.TrafficStarted(s.now)
		var members []*simHost
		for _, h := range s.hostsByID() {
			if h.IsOpenHead() && len(h.members) == 4 {
				members = s.groupOf(h)
				break
			}
		}
		epoch := members[0].Assignment.Epoch
		s.replaceLeader()
		members[rank].nextAnnouncement = s.now + 2800*time.Millisecond
		s.run(6 * time.Second)
		for _, m := range members {
			if m.Assignment == nil || m.Assignment.Epoch != epoch {
				t.Errorf("member %d was silent: %s left group %d", rank, m.ID, epoch)
			}
		}
	}
}

func TestNewLeaderDissolvesTheGroupOfALostMemberInTime(t *testing.T) {
	for rank := range 4 {
		s := newSimulation48(t, 4)
		s.planner.TrafficStarted(s.now)
		var members []*simHost
		for _, h := range s.hostsByID() {
			if h.IsOpenHead() && len(h.members) == 4 {
				members = s.groupOf(h)
				break
			}
		}
		epoch := members[0].Assignment.Epoch
		s.kill(members[rank])
		s.replaceLeader()
		s.run(adoptDelay + 200*time.Millisecond)
		for _, m := range members {
			if !m.dead && m.Assignment != nil && m.Assignment.Epoch == epoch {
				t.Errorf("member %d is lost: %s is still in group %d", rank, m.ID, epoch)
			}
		}
	}
}
