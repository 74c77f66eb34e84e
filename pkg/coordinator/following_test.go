package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/logging"
	"github.com/sesamemux/sesamemux/pkg/ratelimit"
)

func TestFollowersAnswerEntryHostsLikeTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t)
		u := fleet.Upstream{ID: "u", Service: "plain", Address: "u:1", Zone: "z", StartedMS: 1, Sequence: 1, State: fleet.Ready}
		if _, err := c.running["a"].Announce(context.Background(), u); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		busy := newEntryHost(c.follower(), "busy")
		busy.request.Running = map[string]int{"u": 3}
		busy.request.RelayAddress = "busy:1"
		busy.request.Limits = map[string]control.FleetLimit{"u": control.NewFleetLimit(busy.server.now(), ratelimit.Statement{PerSecond: 5, Limited: true, At: busy.server.now()})}
		for range 10 {
			if err := busy.sync(); err != nil {
				t.Fatal(err)
			}
		}
		for name, server := range map[string]*process{"the leader": c.running[c.leader()], "a follower": c.follower()} {
			e := newEntryHost(server, name)
			if err := e.sync(); err != nil {
				t.Fatal(err)
			}
			r := e.result
			if len(r.Upstreams) != 1 || r.DocumentVersion != 3 || r.Document == nil || r.Running["u"] != 3 || r.Leader != c.running[c.leader()].cfg.PeerAddress ||
				len(r.Servers) != 2 || r.Limits["u"].PerSecond != 5 || len(r.Relays) != 1 || !r.Full || r.EntryHosts < 1 {
				t.Errorf("%s answers %+v", name, r)
			}
		}
		earlier := newEntryHost(c.follower(), "earlier")
		earlier.request.AnyCoordinator = false
		if err := earlier.sync(); !isNotLeader(err) {
			t.Errorf("a follower answers an entry host of an earlier version: %v", err)
		}
	})
}

func TestFollowerThatHearsNothingOfTheLeaderTurnsEntryHostsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t)
		follower := c.follower()
		e := newEntryHost(follower, "e1")
		if err := e.sync(); err != nil {
			t.Fatal(err)
		}
		c.network.Partition([]string{follower.cfg.Name}, []string{"a", "b", "c"})
		time.Sleep(maxLeaderSilence + time.Second)
		if err := e.sync(); err == nil {
			t.Error("answered although others may know more")
		}
		c.network.HealAll()
		time.Sleep(3 * time.Second)
		if err := e.sync(); err != nil {
			t.Error(err)
		}
	})
}

func TestChangesReachEntryHostsOfFollowersSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t)
		e := newEntryHost(c.follower(), "e1")
		e.request.WaitMS = 1000
		for range 2 {
			if err := e.sync(); err != nil {
				t.Fatal(err)
			}
		}
		u := fleet.Upstream{ID: "u", Service: "plain", Address: "u:1", Zone: "z", StartedMS: 1, Sequence: 1, State: fleet.Ready}
		began := time.Now()
		time.AfterFunc(100*time.Millisecond, func() {
			if _, err := c.running["a"].Announce(context.Background(), u); err != nil {
				t.Error(err)
			}
		})
		for len(e.result.Upstreams) == 0 && time.Since(began) < 5*time.Second {
			if err := e.sync(); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began) - 100*time.Millisecond; took > 150*time.Millisecond {
			t.Errorf("an upstream is known at an entry host of a follower after %v", took)
		}
		// A head whose group is given up is cordoned without an announcement of its own.
		leader := c.running[c.leader()]
		leader.mu.Lock()
		leader.registry.SetCordoned("u", true)
		leader.leadership.notifyChange()
		leader.mu.Unlock()
		for range 3 {
			if err := e.sync(); err != nil {
				t.Fatal(err)
			}
			if len(e.result.Upstreams) > 0 {
				break
			}
		}
		if len(e.result.Upstreams) != 1 || !e.result.Upstreams[0].Cordoned {
			t.Errorf("a cordon does not reach the entry host: %+v", e.result.Upstreams)
		}
	})
}

func TestAnnouncementsWithoutAChangeReachTheLeaderWithReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t)
		follower, leader := c.follower(), c.running[c.leader()]
		u := fleet.Upstream{ID: "u", Service: "plain", Address: "u:1", Zone: "z", StartedMS: 1, Sequence: 1, State: fleet.Ready}
		next, err := follower.Announce(context.Background(), u)
		if err != nil || next != follower.cfg.OperatorAddress {
			t.Errorf("later announcements go to %s: %v", next, err)
		}
		time.Sleep(2 * time.Second)
		u.Sequence = 2
		c.network.Partition([]string{follower.cfg.Name}, []string{leader.cfg.Name})
		began := time.Now()
		if _, err := follower.Announce(context.Background(), u); err != nil || time.Since(began) > 0 {
			t.Errorf("an announcement without a change takes %v: %v", time.Since(began), err)
		}
		c.network.HealAll()
		time.Sleep(2 * time.Second)
		leader.mu.Lock()
		e := leader.registry.Get("u")
		sequence, age := e.Sequence, leader.now()-e.Heard
		leader.mu.Unlock()
		if sequence != 2 || age > 2200*time.Millisecond {
			t.Errorf("the leader knows announcement %d, heard %v ago", sequence, age)
		}
		u.Sequence, u.Slots = 3, 8
		if _, err := follower.Announce(context.Background(), u); err != nil {
			t.Fatal(err)
		}
		leader.mu.Lock()
		defer leader.mu.Unlock()
		if slots := leader.registry.Get("u").Slots; slots != 8 {
			t.Errorf("a change does not reach the leader at once: %d slots", slots)
		}
	})
}

func TestRequestsOfAnEntryHostThatMovedOrEndedAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t)
		leader := c.running[c.leader()]
		running := func() int {
			leader.mu.Lock()
			defer leader.mu.Unlock()
			return leader.leadership.totalUsage(leader.now()).Running["u"]
		}
		var followers []*process
		for _, p := range c.running {
			if p != leader {
				followers = append(followers, p)
			}
		}
		e := newEntryHost(followers[0], "e1")
		for _, server := range []*process{followers[0], followers[1], leader, followers[0]} {
			e.server = server
			for range 30 { // 6 s
				e.request.Running = map[string]int{"u": 5}
				if err := e.sync(); err != nil {
					t.Fatal(err)
				}
			}
			if n := running(); n != 5 {
				t.Errorf("%d requests are counted of an entry host that has 5", n)
			}
		}
		time.Sleep(6 * time.Second)
		if n := running(); n != 0 {
			t.Errorf("%d requests are counted of an entry host that ended", n)
		}
	})
}

func TestFollowerForgetsUpstreamsThatEndedWhileAnotherLeaderLed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t)
		follower := c.follower()
		c.announce(c.leader(), fleet.Upstream{ID: "u1", Service: "plain", Address: "u:1", Zone: "z", StartedMS: 1, Sequence: 1, State: fleet.Ready})
		time.Sleep(time.Second)
		c.network.Partition([]string{follower.cfg.Name}, []string{"a", "b", "c"})
		c.announce(c.leader(), fleet.Upstream{ID: "u2", Service: "plain", Address: "u:1", Zone: "z", StartedMS: 2, Sequence: 1, State: fleet.Ready})
		time.Sleep(time.Second)
		leader := c.running[c.leader()]
		leader.transferLeadership(leader.replica.Load().node)
		c.network.HealAll()
		time.Sleep(3 * time.Second)
		e := newEntryHost(follower, "e1")
		if err := e.sync(); err != nil {
			t.Fatal(err)
		}
		if len(e.result.Upstreams) != 1 || e.result.Upstreams[0].ID != "u2" {
			t.Errorf("entry hosts get %+v", e.result.Upstreams)
		}
	})
}

func (c *cluster) announce(name string, u fleet.Upstream) {
	if _, err := c.running[name].Announce(context.Background(), u); err != nil {
		c.t.Error(err)
	}
}

func TestUpstreamsThatASettledLeaderDoesNotNameAreForgotten(t *testing.T) {
	c := New(Config{PeerAddress: "f:1", Seeds: []string{"l:1"}, Clock: clock.NewMonotonic(), Logger: logging.Discard()})
	upstream := func(id string) fleet.Upstream {
		return fleet.Upstream{ID: id, Service: "plain", Address: id + ":1", Zone: "z", StartedMS: 1, Sequence: 1, State: fleet.Ready}
	}
	c.applyLeaderState(control.FleetSyncResult{Session: "1", Full: true, Leader: "l:1", Upstreams: []fleet.Upstream{upstream("u1"), upstream("u2"), upstream("u3")}})
	c.applyLeaderState(control.FleetSyncResult{Session: "2", Full: true, Leader: "l:1", Upstreams: []fleet.Upstream{upstream("u1")}})
	c.applyLeaderState(control.FleetSyncResult{Session: "2", Leader: "l:1", Upstreams: []fleet.Upstream{upstream("u2")}})
	if e := c.registry.Get("u3"); e.State != fleet.Ready {
		t.Error("an upstream is forgotten that a new leader may not have heard yet")
	}
	session := c.following.session
	c.applyLeaderState(control.FleetSyncResult{Session: "2", Leader: "l:1", Converged: true})
	for id, want := range map[string]bool{"u1": true, "u2": true, "u3": false} {
		if got := c.registry.Get(id) != nil; got != want {
			t.Errorf("%s is known: %v, want %v", id, got, want)
		}
	}
	if c.following.session == session {
		t.Error("entry hosts do not learn of it")
	}
	c.applyLeaderState(control.FleetSyncResult{Session: "2", Leader: "l:1", Converged: true, Upstreams: []fleet.Upstream{upstream("u3")}})
	if e := c.registry.Get("u3"); e == nil || e.State != fleet.Ready {
		t.Error("an upstream that announces itself to the leader later stays unknown")
	}
}
