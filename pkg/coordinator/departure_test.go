package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

func TestRepeatedAnnouncementOfADepartureIsNotAcknowledgedWithoutTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.put("a", "v1")
		leader := c.leader()
		u := fleet.Upstream{ID: "u", Service: "plain", Address: "u:1", Zone: "z", StartedMS: 1, Sequence: 1, State: fleet.Ready}
		if _, err := c.running[leader].Announce(context.Background(), u); err != nil {
			t.Fatal(err)
		}
		var followers []string
		for name := range c.running {
			if name != leader {
				followers = append(followers, name)
			}
		}
		c.network.Partition([]string{leader}, followers)
		u.State = fleet.Draining
		for range 2 {
			u.Sequence++
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			_, err := c.running[leader].Announce(ctx, u)
			cancel()
			if err == nil {
				t.Errorf("announcement %d of the departure is acknowledged, and only one replica knows it", u.Sequence)
			}
		}
		c.network.HealAll()
		time.Sleep(5 * time.Second)
		u.Sequence++
		if _, err := c.running[c.leader()].Announce(context.Background(), u); err != nil {
			t.Errorf("the departure is not acknowledged: %v", err)
		}
		st, _ := c.running[c.leader()].replica.Load().store.State()
		if len(st.Departures) != 1 {
			t.Errorf("%d departures in the log, want 1", len(st.Departures))
		}
	})
}

// upstream returns what a coordinator knows of an upstream.
func (c *cluster) upstream(name, id string) fleet.Upstream {
	p := c.running[name]
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.registry.Get(id); e != nil {
		return e.Upstream
	}
	return fleet.Upstream{}
}

func TestLateDeregistrationDoesNotEndTheNextLifetime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t)
		leader, follower, _ := c.roles()
		u := fleet.Upstream{ID: "u", Service: "plain", Address: "u:1", Zone: "z", StartedMS: 1, Sequence: 1, State: fleet.Ready}
		if _, err := c.running[follower].Announce(context.Background(), u); err != nil {
			t.Fatal(err)
		}
		former, err := c.running[follower].InstanceBase(context.Background(), "u")
		if err != nil {
			t.Fatal(err)
		}
		c.network.Cut(follower, leader)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		if c.depart(ctx, follower, "u") == nil {
			t.Fatal("a departure is acknowledged that did not reach the leader")
		}
		u.StartedMS = 2
		if _, err := c.running[leader].Announce(context.Background(), u); err != nil {
			t.Fatal(err)
		}
		c.network.HealAll()
		time.Sleep(2 * time.Second)
		if e := c.upstream(leader, "u"); e.StartedMS != 2 || e.State != fleet.Ready {
			t.Errorf("the next lifetime has ended: %+v", e)
		}
		if err := c.running[follower].Depart(context.Background(), "u", former); err != nil {
			t.Error(err)
		}
		if e := c.upstream(leader, "u"); e.StartedMS != 2 || e.State != fleet.Ready {
			t.Errorf("a departure that came late has ended the next lifetime: %+v", e)
		}
		if err := c.depart(context.Background(), follower, "u"); err != nil {
			t.Error(err)
		}
		if e := c.upstream(leader, "u"); e.State != fleet.Gone {
			t.Errorf("an acknowledged departure is not known: %+v", e)
		}
	})
}
