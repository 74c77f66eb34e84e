package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/formation"
	"github.com/sesamemux/sesamemux/pkg/logging"
	"github.com/sesamemux/sesamemux/pkg/memconn"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// noEngines takes every order and answers every probe.
type noEngines struct{}

func (noEngines) Order(context.Context, formation.Order, uint64) (formation.OrderResult, error) {
	return formation.Accepted, nil
}
func (noEngines) Probe(context.Context, fleet.Upstream) error { return nil }

// decodeVersion reads documents of the form "v7"; others are invalid.
func decodeVersion(raw []byte) (*catalog.Set, error) {
	set := &catalog.Set{}
	if _, err := fmt.Sscanf(string(raw), "v%d", &set.Version); err != nil {
		return nil, err
	}
	return set, nil
}

// core is a set of coordinators in memory and virtual time.
type core struct {
	t       *testing.T
	dir     string
	network *memconn.Network
	seeds   []string
	running map[string]*process
}

type process struct {
	*Coordinator
	stop    context.CancelFunc
	stopped *sync.WaitGroup
	server  *rpc.Server
}

func newCore(t *testing.T) *core {
	c := &core{
		t: t, dir: t.TempDir(), network: memconn.New(time.Millisecond),
		seeds: []string{"a:1", "b:1", "c:1"}, running: map[string]*process{},
	}
	t.Cleanup(func() {
		for name := range c.running {
			c.kill(name)
		}
		time.Sleep(10 * time.Second) // calls that wait for news end
	})
	for _, name := range []string{"a", "b", "c"} {
		c.start(name, true)
	}
	return c
}

func (c *core) folder(name string) string { return filepath.Join(c.dir, name) }

func (c *core) start(name string, first bool) {
	address := name + ":1"
	p := &process{stopped: &sync.WaitGroup{}, server: rpc.NewServer()}
	p.Coordinator = New(Config{
		Name: name, Zone: name, PeerAddress: address, OperatorAddress: name + ":2", Seeds: c.seeds, FirstStart: first,
		DataDir: c.folder(name), Voters: 3, LoadWindow: 5 * time.Second,
		Decode: decodeVersion, Engines: noEngines{}, Dial: c.network.Dialer(name), Clock: clock.NewMonotonic(), Logger: logging.Discard(),
	})
	p.Register(p.server)
	l := c.network.Listen(name, address)
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.stopped.Go(func() { _ = p.server.Serve(l) })
	p.stopped.Go(func() { p.Run(ctx) })
	c.running[name] = p
}

// kill ends a coordinator without a farewell, as far as the others can see.
func (c *core) kill(name string) {
	p := c.running[name]
	delete(c.running, name)
	c.network.Kill(name)
	p.server.Close()
	p.stop()
	p.stopped.Wait()
}

func (c *core) wipe(name string) {
	if err := os.RemoveAll(c.folder(name)); err != nil {
		c.t.Fatal(err)
	}
}

// put sends a document to a coordinator until it is acknowledged.
func (c *core) put(name, document string) {
	c.t.Helper()
	for range 60 {
		if c.running[name].PutDocument(context.Background(), []byte(document)) == nil {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	c.t.Fatalf("%s acknowledged %s at no time", name, document)
}

// reads tells what a coordinator reads, with the virtual time it may take.
func (c *core) reads(name, want string) {
	c.t.Helper()
	got := "nothing"
	for range 60 {
		d, err := c.running[name].ReadDocument(context.Background())
		if err == nil && d != nil {
			raw, err := d.Raw()
			if err != nil {
				c.t.Fatal(err)
			}
			if got = string(raw); got == want {
				return
			}
			c.t.Fatalf("%s reads %s, want %s", name, got, want)
		}
		time.Sleep(250 * time.Millisecond)
	}
	c.t.Fatalf("%s reads %s, want %s", name, got, want)
}

func (c *core) leader() string {
	for range 60 {
		for name, p := range c.running {
			p.mu.Lock()
			leads := p.leads != nil
			p.mu.Unlock()
			if leads {
				return name
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatal("nobody leads")
	return ""
}

func (c *core) membership() raft.Membership {
	r := c.running[c.leader()].node.Load()
	st, err := r.node.Status(context.Background())
	if err != nil {
		c.t.Fatal(err)
	}
	return st.Membership
}

func (c *core) voterAddresses() string {
	var s []string
	ms := c.membership()
	for _, id := range ms.Voters() {
		m, _ := ms.Member(id)
		s = append(s, m.Address)
	}
	return strings.Join(s, ",")
}

func TestFirstCoordinatorsMakeUpTheQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore(t)
		c.put("a", "v3")
		for _, name := range []string{"a", "b", "c"} {
			c.reads(name, "v3")
		}
		c.put("b", "v2")
		c.reads("c", "v3")
		if err := c.running["c"].PutDocument(context.Background(), []byte("spoilt")); !errors.Is(err, ErrInvalid) {
			t.Errorf("an invalid document: %v", err)
		}
	})
}

func TestAcknowledgedChangeSurvivesTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore(t)
		c.put("a", "v3")
		gone := c.leader()
		c.kill(gone)
		for name := range c.running {
			c.reads(name, "v3")
		}
		c.start(gone, false)
		c.reads(gone, "v3")
	})
}

func TestLeaderThatStopsHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore(t)
		c.put("a", "v3")
		old := c.leader()
		stopped := c.running[old]
		before := time.Now()
		stopped.stop()
		for took := time.Duration(0); ; took = time.Since(before) {
			if took > 300*time.Millisecond { // an election begins after 400 ms at the earliest
				t.Fatalf("nobody leads %v after the leader was told to stop", took)
			}
			leads := false
			for name, p := range c.running {
				p.mu.Lock()
				leads = leads || name != old && p.leads != nil
				p.mu.Unlock()
			}
			if leads {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		c.kill(old)
		for name := range c.running {
			c.reads(name, "v3")
		}
	})
}

func TestAllKilledAtOnceComeBackWithWhatWasAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore(t)
		c.put("a", "v3")
		for _, name := range []string{"a", "b", "c"} {
			c.kill(name)
		}
		for _, name := range []string{"a", "b", "c"} {
			c.start(name, true)
		}
		c.reads("b", "v3")
	})
}

func TestLostDiskComesBackAtItsAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore(t)
		c.put("a", "v3")
		victim := c.leader()
		c.kill(victim)
		c.wipe(victim)
		c.start(victim, false)
		time.Sleep(4 * time.Second)
		if voters := c.voterAddresses(); strings.Count(voters, ":") != 3 || !strings.Contains(voters, victim+":1") {
			t.Errorf("voters %s after %s lost its disk", voters, victim)
		}
		// The next loss is borne as well: nothing hangs on the first two.
		for _, name := range []string{"a", "b", "c"} {
			if name != victim {
				c.kill(name)
				break
			}
		}
		c.reads(victim, "v3")
	})
}

func TestEmptyCoordinatorTakesALostOnesPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore(t)
		c.put("a", "v3")
		gone := "a"
		c.kill(gone)
		c.start("d", false)
		time.Sleep(5 * time.Second)
		if voters := c.voterAddresses(); strings.Contains(voters, "a:1") || !strings.Contains(voters, "d:1") {
			t.Errorf("voters %s", voters)
		}
		// The one that was removed was only away; it waits from then on.
		c.start(gone, false)
		time.Sleep(5 * time.Second)
		c.reads(gone, "v3")
		c.kill("b")
		time.Sleep(5 * time.Second)
		if voters := c.voterAddresses(); !strings.Contains(voters, "a:1") {
			t.Errorf("voters %s after b was lost too", voters)
		}
		c.put("d", "v4")
	})
}

// A coordinator that was just given a place has not asked for news yet (seen on
// the own day "control": it was removed at once, and after the next loss no
// quorum was left).
func TestNewcomerIsNotTakenForSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore(t)
		c.put("a", "v3")
		time.Sleep(time.Minute)
		leader := c.running[c.leader()]
		if _, err := leader.join(context.Background(), control.FleetJoinRequest{Address: "d:1"}); err != nil {
			t.Fatal(err)
		}
		if err := leader.tendOnce(context.Background(), leader.node.Load().node); err != nil {
			t.Fatal(err)
		}
		if ms := c.membership(); len(ms.Members) != 4 {
			t.Errorf("members %+v", ms.Members)
		}
	})
}

func TestCoordinatorRemovedWhileCutOffComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore(t)
		c.put("a", "v3")
		c.start("d", false)
		time.Sleep(5 * time.Second)
		c.network.Partition([]string{"d"}, []string{"a", "b", "c"})
		time.Sleep(20 * time.Second)
		if ms := c.membership(); len(ms.Members) != 3 {
			t.Errorf("members while it is cut off: %+v", ms.Members)
		}
		c.network.HealAll()
		time.Sleep(10 * time.Second)
		if ms := c.membership(); len(ms.Members) != 4 {
			t.Errorf("members after the cut: %+v", ms.Members)
		}
	})
}

func TestCoordinatorCutOffReadsNothingOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore(t)
		c.put("a", "v3")
		cut := c.leader()
		var others []string
		for name := range c.running {
			if name != cut {
				others = append(others, name)
			}
		}
		c.network.Partition([]string{cut}, others)
		c.put(others[0], "v4")
		if d, err := c.running[cut].ReadDocument(context.Background()); err == nil {
			t.Errorf("the one cut off reads version %d", d.Version)
		}
		c.network.HealAll()
		c.reads(cut, "v4")
	})
}

func TestDrainingNoticeIsKeptOverALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCore(t)
		c.put("a", "v3")
		u := fleet.Upstream{ID: "u1", Service: "s", Address: "u:1", Zone: "z", StartedMS: 5, Sequence: 1, State: fleet.Ready}
		first := c.leader()
		if _, err := c.running[first].Announce(context.Background(), u); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second) // the followers mirror it
		u.State, u.Sequence = fleet.Draining, 2
		for name := range c.running {
			if name != first {
				if _, err := c.running[name].Announce(context.Background(), u); err != nil {
					t.Fatal(err)
				}
				break
			}
		}
		c.kill(first)
		next := c.running[c.leader()]
		req := control.FleetSyncRequest{Process: "e1", EntryHost: true}
		raw, err := next.sync(context.Background(), req)
		if err != nil {
			t.Fatal(err)
		}
		var result control.FleetSyncResult
		if err := json.Unmarshal(raw, &result); err != nil {
			t.Fatal(err)
		}
		if len(result.Upstreams) != 1 || result.Upstreams[0].State != fleet.Draining {
			t.Errorf("the next leader tells of %+v", result.Upstreams)
		}
	})
}

func TestTendingChangesOneThingAtATime(t *testing.T) {
	member := func(id raft.ID, learner bool) raft.Member {
		return raft.Member{ID: id, Address: fmt.Sprint(id), Learner: learner}
	}
	status := func(members ...raft.Member) raft.Status {
		st := raft.Status{ID: 1, Role: raft.Leader, Committed: 10, Membership: raft.NewMembership(members)}
		for _, m := range members {
			st.Followers = append(st.Followers, raft.FollowerStatus{ID: m.ID, Match: 10})
		}
		return st
	}
	behind := status(member(1, false), member(2, false), member(4, true))
	behind.Followers[2].Match = 3
	for name, c := range map[string]struct {
		st     raft.Status
		silent map[raft.ID]time.Duration
		want   tending
	}{
		"nothing waits":             {status(member(1, false), member(2, false), member(3, false)), map[raft.ID]time.Duration{3: time.Hour}, tending{}},
		"a voter is missing":        {status(member(1, false), member(2, false), member(4, true)), nil, tending{promote: 4}},
		"it does not hold the log":  {behind, nil, tending{}},
		"a voter went silent":       {status(member(1, false), member(2, false), member(3, false), member(4, true)), map[raft.ID]time.Duration{3: 3 * time.Second}, tending{remove: 3}},
		"the one that waits is not": {status(member(1, false), member(2, false), member(3, false), member(4, true)), map[raft.ID]time.Duration{3: 3 * time.Second, 4: 3 * time.Second}, tending{}},
		"it waits in silence":       {status(member(1, false), member(2, false), member(3, false), member(4, true)), map[raft.ID]time.Duration{4: 11 * time.Second}, tending{remove: 4}},
		"all is well":               {status(member(1, false), member(2, false), member(3, false), member(4, true)), nil, tending{}},
	} {
		got := tendDecision(c.st, c.silent, 3)
		got.cause = ""
		if got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}
