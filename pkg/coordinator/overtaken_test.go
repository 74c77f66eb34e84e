package coordinator

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/durable"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/sender"
)

// roles returns the leader and the two coordinators that follow it.
func (c *cluster) roles() (leader, follower, other string) {
	leader = c.leader()
	names := slices.DeleteFunc([]string{"a", "b", "c"}, func(n string) bool { return n == leader })
	return leader, names[0], names[1]
}

// orderAttempts is how often the sender of an order tries again if others came first.
const orderAttempts = 4

// order sends the evacuation of z, or its end, to a coordinator and fails the test unless it is acknowledged.
func (c *cluster) order(name string, evacuate bool) {
	c.t.Helper()
	send := c.restore
	if evacuate {
		send = c.evacuate
	}
	var err error
	for range orderAttempts {
		if err = send(context.Background(), name); err == nil {
			return
		}
	}
	c.t.Fatal(err)
}

// evacuate sends the evacuation of z to a coordinator, as a sender that follows its redirection.
func (c *cluster) evacuate(ctx context.Context, name string) error {
	base, err := c.running[name].ZoneBase(ctx, "z")
	if err != nil {
		return err
	}
	return c.running[name].Evacuate(ctx, "z", base)
}

// restore is evacuate for the end of the evacuation.
func (c *cluster) restore(ctx context.Context, name string) error {
	base, err := c.running[name].ZoneBase(ctx, "z")
	if err != nil {
		return err
	}
	return c.running[name].Restore(ctx, "z", base)
}

// depart sends the departure of an upstream to a coordinator, as a sender that follows its redirection.
func (c *cluster) depart(ctx context.Context, name, id string) error {
	base, err := c.running[name].InstanceBase(ctx, id)
	if err != nil {
		return err
	}
	return c.running[name].Depart(ctx, id, base)
}

func (c *cluster) evacuated(name string) bool {
	st, _ := c.running[name].replica.Load().store.State()
	return slices.Contains(st.Evacuated, "z")
}

func TestOrderThatWaitedOnItsWayToTheLeaderDoesNotUndoLaterOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t)
		leader, follower, other := c.roles()
		c.order(follower, true)
		c.network.Cut(follower, leader)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		if c.restore(ctx, follower) == nil {
			t.Fatal("an order is acknowledged that did not reach the leader")
		}
		c.order(other, false)
		c.order(other, true)
		c.network.HealAll()
		time.Sleep(5 * time.Second)
		if !c.evacuated(c.leader()) {
			t.Error("an order that its sender had given up has undone an acknowledged evacuation")
		}
	})
}

// What a sender does after it has given up comes later than an order that is based on what was in force
// before, wherever that one is held up and however sound its connection looks.
func TestOrderThatComesAfterItsSenderHasGoneOnChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t)
		leader, follower, other := c.roles()
		for _, name := range []string{leader, follower} {
			c.order(follower, true)
			base, err := c.running[name].ZoneBase(context.Background(), "z")
			if err != nil {
				t.Fatal(err)
			}
			c.order(other, false)
			c.order(other, true)
			if c.running[name].Restore(context.Background(), "z", base) == nil {
				t.Errorf("%s acknowledges an order that comes late", name)
			}
			time.Sleep(2 * time.Second)
			if !c.evacuated(leader) {
				t.Fatalf("an order that came late to %s has undone an acknowledged evacuation", name)
			}
		}
	})
}

func TestOrderWhoseSenderHasLeftIsNotPassedOnToTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t)
		leader, follower, _ := c.roles()
		c.order(follower, true)
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		closed := sender.WithState(context.Background(), func() (sender.State, error) { return sender.State{Closed: true}, nil })
		for _, name := range []string{leader, follower} {
			for _, ctx := range []context.Context{ended, closed} {
				if c.restore(ctx, name) == nil {
					t.Errorf("%s acknowledges an order to nobody", name)
				}
				time.Sleep(time.Second)
				if !c.evacuated(leader) {
					t.Fatalf("%s has carried out an order whose sender had left", name)
				}
			}
		}
	})
}

func TestOrderBasedOnAnEarlierOrderOrTermIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t)
		leader, follower, _ := c.roles()
		p := c.running[leader]
		base, err := p.handleBase(context.Background(), control.FleetBaseRequest{Zone: "z"})
		if err != nil {
			t.Fatal(err)
		}
		change := control.FleetChangeRequest{Command: durable.Command{Evacuate: "z"}, Base: &base}
		c.order(follower, false) // changes nothing, but is an order
		if _, err := p.handleChange(context.Background(), change); !hasCode(err, control.CodeConflict) {
			t.Errorf("an order that another one has overtaken: %v", err)
		}
		if base, err = p.handleBase(context.Background(), control.FleetBaseRequest{Zone: "z"}); err != nil {
			t.Fatal(err)
		}
		base.Term--
		if _, err := p.handleChange(context.Background(), change); !hasCode(err, control.CodeConflict) {
			t.Errorf("an order of an earlier term: %v", err)
		}
		if c.evacuated(leader) {
			t.Error("a refused order was carried out")
		}
		base.Term++
		if _, err := p.handleChange(context.Background(), change); err != nil || !c.evacuated(leader) {
			t.Errorf("an order that comes next: %v", err)
		}
		change.Base = nil
		if _, err := p.handleChange(context.Background(), change); err != nil {
			t.Errorf("an order of an earlier version: %v", err)
		}
	})
}

func TestOrdersGivenAtOnceAreAllCarriedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t)
		leader, follower, other := c.roles()
		var sent sync.WaitGroup
		for _, name := range []string{leader, follower, other} {
			sent.Go(func() { c.order(name, true) })
		}
		sent.Wait()
		if !c.evacuated(leader) {
			t.Error("not evacuated")
		}
	})
}

func TestOrderReachesALeaderOfAnEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t)
		_, follower, _ := c.roles()
		received := make(chan durable.Command, 1)
		old := rpc.NewServer()
		rpc.Handle(old, string(control.MethodFleetChange), func(_ context.Context, command durable.Command) (struct{}, error) {
			received <- command
			return struct{}{}, nil
		})
		l := c.network.Listen("old", "old:1")
		go func() { _ = old.Serve(l) }()
		address := "old:1"
		c.running[follower].knownLeader.Store(&address)
		c.order(follower, true)
		if got := <-received; got.Evacuate != "z" {
			t.Errorf("received %+v", got)
		}
		old.Close()
		_ = l.Close()
	})
}
