package coordinator

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
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

// fakeEngineClient accepts every order and answers every probe.
type fakeEngineClient struct{}

func (fakeEngineClient) Order(context.Context, formation.Order, uint64) (formation.OrderResult, error) {
	return formation.Accepted, nil
}
func (fakeEngineClient) Probe(context.Context, fleet.Upstream) (formation.ProbeResult, error) {
	return formation.Answered, nil
}

// decodeVersion decodes documents of the form "v7" and rejects others.
func decodeVersion(raw []byte) (*catalog.Set, error) {
	set := &catalog.Set{}
	if _, err := fmt.Sscanf(string(raw), "v%d", &set.Version); err != nil {
		return nil, err
	}
	return set, nil
}

// cluster is a set of coordinators with an in-memory network and virtual time.
type cluster struct {
	t       *testing.T
	dir     string
	prepare func(*process) // if not nil, called for each coordinator before it starts
	network *memconn.Network
	seeds   []string
	running map[string]*process
	decode  func(raw []byte) (*catalog.Set, error)
	engines EngineClient
	disks   map[string]*stallableDisk
	sync    time.Duration     // that each sync of a disk takes
	zones   map[string]string // failure domains of coordinators that are not in one of their own
	killed  map[string]*process
}

type process struct {
	*Coordinator
	stop    context.CancelFunc
	stopped *sync.WaitGroup
	server  *rpc.Server
}

func newCluster(t *testing.T) *cluster { return newClusterOf(t, decodeVersion, fakeEngineClient{}) }

// newClusterOf returns a cluster with the given decoder of documents and client of engine hosts.
func newClusterOf(t *testing.T, decode func(raw []byte) (*catalog.Set, error), engines EngineClient) *cluster {
	c := &cluster{
		t: t, dir: t.TempDir(), network: memconn.New(time.Millisecond), decode: decode, engines: engines,
		seeds: []string{"a:1", "b:1", "c:1"}, running: map[string]*process{}, disks: map[string]*stallableDisk{}, zones: map[string]string{},
		killed: map[string]*process{},
	}
	t.Cleanup(func() {
		for name := range c.running {
			c.kill(name)
		}
		time.Sleep(10 * time.Second) // let waiting sync calls end
	})
	for _, name := range []string{"a", "b", "c"} {
		c.start(name, true)
	}
	return c
}

// newSettledCluster returns a cluster with a document, in which the leader knows who is in touch.
func newSettledCluster(t *testing.T) *cluster {
	c := newCluster(t)
	c.put("a", "v3")
	time.Sleep(3 * time.Second)
	return c
}

func (c *cluster) dataDir(name string) string { return filepath.Join(c.dir, name) }

func (c *cluster) start(name string, first bool) {
	c.awaitEnd(name)
	address := name + ":1"
	p := &process{stopped: &sync.WaitGroup{}, server: rpc.NewServer()}
	c.disks[name] = &stallableDisk{syncTime: c.sync}
	p.Coordinator = New(Config{
		Name: name, Zone: cmp.Or(c.zones[name], name), PeerAddress: address, OperatorAddress: name + ":2", Seeds: c.seeds, FirstStart: first,
		DataDir: c.dataDir(name), FS: c.disks[name], Voters: 3, LoadWindow: 5 * time.Second,
		Decode: c.decode, Engines: c.engines, Dial: c.network.Dialer(name), Clock: clock.NewMonotonic(), Logger: logging.Discard(),
	})
	p.Register(p.server)
	if c.prepare != nil {
		c.prepare(p)
	}
	l := c.network.Listen(name, address)
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.stopped.Go(func() { _ = p.server.Serve(l) })
	p.stopped.Go(func() { p.Run(ctx) })
	c.running[name] = p
}

// kill stops a coordinator. To the others it looks like a crash: what it does to end reaches nobody.
func (c *cluster) kill(name string) {
	p := c.running[name]
	delete(c.running, name)
	c.network.Kill(name)
	for other := range c.disks {
		if other != name {
			c.network.Cut(name, other)
		}
	}
	c.disks[name].recover()
	p.server.Close()
	p.stop()
	c.killed[name] = p
}

// awaitEnd waits until a killed coordinator has ended.
func (c *cluster) awaitEnd(name string) {
	p, ok := c.killed[name]
	if !ok {
		return
	}
	p.stopped.Wait()
	delete(c.killed, name)
	for other := range c.disks {
		if other != name {
			c.network.Heal(name, other)
		}
	}
}

func (c *cluster) wipe(name string) {
	c.awaitEnd(name)
	if err := os.RemoveAll(c.dataDir(name)); err != nil {
		c.t.Fatal(err)
	}
}

// put sends a document to a coordinator until it is acknowledged.
func (c *cluster) put(name, document string) {
	c.t.Helper()
	for range 60 {
		if c.running[name].PutDocument(context.Background(), []byte(document)) == nil {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	c.t.Fatalf("%s never acknowledged %s", name, document)
}

// expectRead checks the document that a coordinator returns, retrying while the quorum is
// unavailable.
func (c *cluster) expectRead(name, want string) {
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

func (c *cluster) leader() string {
	for range 60 {
		if name := c.leaderNow(); name != "" {
			return name
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatal("there is no leader")
	return ""
}

// leaderNow returns the coordinator that leads, the first by name, or an empty string.
func (c *cluster) leaderNow() string {
	for _, name := range slices.Sorted(maps.Keys(c.running)) {
		p := c.running[name]
		p.mu.Lock()
		leads := p.leadership != nil
		p.mu.Unlock()
		if leads {
			return name
		}
	}
	return ""
}

func (c *cluster) membership() raft.Membership {
	r := c.running[c.leader()].replica.Load()
	st, err := r.node.Status(context.Background())
	if err != nil {
		c.t.Fatal(err)
	}
	return st.Membership
}

func (c *cluster) voterAddresses() string {
	var s []string
	ms := c.membership()
	for _, id := range ms.Voters() {
		m, _ := ms.Member(id)
		s = append(s, m.Address)
	}
	return strings.Join(s, ",")
}

func TestBootstrapCoordinatorsFormTheQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.put("a", "v3")
		for _, name := range []string{"a", "b", "c"} {
			c.expectRead(name, "v3")
		}
		c.put("b", "v2")
		c.expectRead("c", "v3")
		if err := c.running["c"].PutDocument(context.Background(), []byte("spoilt")); !errors.Is(err, ErrInvalid) {
			t.Errorf("an invalid document: %v", err)
		}
	})
}

func TestAcknowledgedChangeSurvivesTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.put("a", "v3")
		gone := c.leader()
		c.kill(gone)
		for name := range c.running {
			c.expectRead(name, "v3")
		}
		c.start(gone, false)
		c.expectRead(gone, "v3")
	})
}

func TestStoppingLeaderTransfersLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.put("a", "v3")
		old := c.leader()
		stopped := c.running[old]
		before := time.Now()
		stopped.stop()
		for took := time.Duration(0); ; took = time.Since(before) {
			if took > 300*time.Millisecond { // an election begins after 400 ms at the earliest
				t.Fatalf("there is no leader %v after the previous one was stopped", took)
			}
			leads := false
			for name, p := range c.running {
				p.mu.Lock()
				leads = leads || name != old && p.leadership != nil
				p.mu.Unlock()
			}
			if leads {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		c.kill(old)
		for name := range c.running {
			c.expectRead(name, "v3")
		}
	})
}

func TestAcknowledgedChangeSurvivesKillOfAllCoordinators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.put("a", "v3")
		for _, name := range []string{"a", "b", "c"} {
			c.kill(name)
		}
		for _, name := range []string{"a", "b", "c"} {
			c.start(name, true)
		}
		c.expectRead("b", "v3")
	})
}

func TestCoordinatorWithLostDiskRejoinsAtItsAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.put("a", "v3")
		victim := c.leader()
		c.kill(victim)
		c.wipe(victim)
		c.start(victim, false)
		time.Sleep(4 * time.Second)
		if voters := c.voterAddresses(); strings.Count(voters, ":") != 3 || !strings.Contains(voters, victim+":1") {
			t.Errorf("voters %s after %s lost its disk", voters, victim)
		}
		// The rejoined coordinator counts fully: the loss of another one is tolerated.
		for _, name := range []string{"a", "b", "c"} {
			if name != victim {
				c.kill(name)
				break
			}
		}
		c.expectRead(victim, "v3")
	})
}

func TestEmptyCoordinatorReplacesALostOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.put("a", "v3")
		gone := "a"
		c.kill(gone)
		c.start("d", false)
		time.Sleep(5 * time.Second)
		if voters := c.voterAddresses(); strings.Contains(voters, "a:1") || !strings.Contains(voters, "d:1") {
			t.Errorf("voters %s", voters)
		}
		// The removed coordinator returns and becomes a learner.
		c.start(gone, false)
		time.Sleep(5 * time.Second)
		c.expectRead(gone, "v3")
		c.kill("b")
		time.Sleep(5 * time.Second)
		if voters := c.voterAddresses(); !strings.Contains(voters, "a:1") {
			t.Errorf("voters %s after b was lost too", voters)
		}
		c.put("d", "v4")
	})
}

// A learner that was just added has not synced yet. It was once removed immediately for its
// silence, which left no quorum after the next loss of a coordinator.
func TestNewLearnerIsNotRemovedAsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.put("a", "v3")
		time.Sleep(time.Minute)
		leader := c.running[c.leader()]
		if _, err := leader.handleJoin(context.Background(), control.FleetJoinRequest{Address: "d:1"}); err != nil {
			t.Fatal(err)
		}
		if err := leader.maintainQuorumOnce(context.Background(), leader.replica.Load().node); err != nil {
			t.Fatal(err)
		}
		if ms := c.membership(); len(ms.Members) != 4 {
			t.Errorf("members %+v", ms.Members)
		}
	})
}

func TestCoordinatorRemovedDuringAPartitionRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.put("a", "v3")
		c.start("d", false)
		time.Sleep(5 * time.Second)
		c.network.Partition([]string{"d"}, []string{"a", "b", "c"})
		time.Sleep(20 * time.Second)
		if ms := c.membership(); len(ms.Members) != 3 {
			t.Errorf("members during the partition: %+v", ms.Members)
		}
		c.network.HealAll()
		time.Sleep(10 * time.Second)
		if ms := c.membership(); len(ms.Members) != 4 {
			t.Errorf("members after the partition: %+v", ms.Members)
		}
	})
}

func TestPartitionedCoordinatorReturnsNoStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
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
			t.Errorf("the partitioned coordinator reads version %d", d.Version)
		}
		c.network.HealAll()
		c.expectRead(cut, "v4")
	})
}

func TestDrainingStateSurvivesAChangeOfLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.put("a", "v3")
		u := fleet.Upstream{ID: "u1", Service: "s", Address: "u:1", Zone: "z", StartedMS: 5, Sequence: 1, State: fleet.Ready}
		first := c.leader()
		if _, err := c.running[first].Announce(context.Background(), u); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second) // let the followers mirror it
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
		raw, err := next.handleSync(context.Background(), req)
		if err != nil {
			t.Fatal(err)
		}
		var result control.FleetSyncResult
		if err := json.Unmarshal(raw, &result); err != nil {
			t.Fatal(err)
		}
		if len(result.Upstreams) != 1 || result.Upstreams[0].State != fleet.Draining {
			t.Errorf("the next leader reports %+v", result.Upstreams)
		}
	})
}

func TestMembershipChangesOneMemberAtATime(t *testing.T) {
	voter := func(id raft.ID, silence time.Duration) memberState {
		return memberState{Member: raft.Member{ID: id}, own: id == 1, silence: silence, caughtUp: true}
	}
	learner := func(id raft.ID, silence time.Duration, caughtUp bool) memberState {
		return memberState{Member: raft.Member{ID: id, Learner: true}, silence: silence, caughtUp: caughtUp}
	}
	stopping := voter(3, 0)
	stopping.stopping = true
	for name, c := range map[string]struct {
		members []memberState
		want    membershipChange
	}{
		"no learner":                {[]memberState{voter(1, 0), voter(2, 0), voter(3, time.Hour)}, membershipChange{}},
		"a voter is missing":        {[]memberState{voter(1, 0), voter(2, 0), learner(4, 0, true)}, membershipChange{promote: 4}},
		"learner lags behind":       {[]memberState{voter(1, 0), voter(2, 0), learner(4, 0, false)}, membershipChange{}},
		"a voter went silent":       {[]memberState{voter(1, 0), voter(2, 0), voter(3, 3*time.Second), learner(4, 0, true)}, membershipChange{remove: 3}},
		"learner is silent as well": {[]memberState{voter(1, 0), voter(2, 0), voter(3, 3*time.Second), learner(4, 3*time.Second, true)}, membershipChange{}},
		"learner went silent":       {[]memberState{voter(1, 0), voter(2, 0), voter(3, 0), learner(4, 11*time.Second, true)}, membershipChange{remove: 4}},
		"all are live":              {[]memberState{voter(1, 0), voter(2, 0), voter(3, 0), learner(4, 0, true)}, membershipChange{}},
		"a voter stops":             {[]memberState{voter(1, 0), voter(2, 0), stopping, learner(4, 0, true)}, membershipChange{promote: 4}},
		"a voter stops alone":       {[]memberState{voter(1, 0), voter(2, 0), stopping}, membershipChange{}},
		"a voter stops, replaced":   {[]memberState{voter(1, 0), voter(2, 0), stopping, voter(4, 0)}, membershipChange{remove: 3}},
		"one voter too many":        {[]memberState{voter(1, 0), voter(2, 0), voter(3, 3*time.Second), voter(4, 0)}, membershipChange{remove: 3}},
	} {
		got := nextMembershipChange(c.members, 3)
		got.cause = ""
		if got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

func TestVotersAreSpreadOverTheFailureDomains(t *testing.T) {
	member := func(id raft.ID, zone string, learner bool) memberState {
		return memberState{Member: raft.Member{ID: id, Learner: learner}, own: id == 1, zone: zone, caughtUp: true}
	}
	silent := func(m memberState, d time.Duration) memberState {
		m.silence = d
		return m
	}
	for name, c := range map[string]struct {
		members []memberState
		want    membershipChange
	}{
		"the learner of an empty domain is promoted":     {[]memberState{member(1, "x", false), member(2, "y", false), member(4, "x", true), member(5, "z", true)}, membershipChange{promote: 5}},
		"a learner of the lost voter's domain":           {[]memberState{member(1, "x", false), member(2, "y", false), silent(member(3, "z", false), 3*time.Second), member(4, "x", true), member(5, "z", true)}, membershipChange{remove: 3}},
		"two voters of a domain, another without":        {[]memberState{member(1, "x", false), member(2, "x", false), member(3, "y", false), member(4, "z", true)}, membershipChange{promote: 4}},
		"the newer of two in a domain goes":              {[]memberState{member(1, "x", false), member(2, "x", false), member(3, "y", false), member(4, "z", false)}, membershipChange{remove: 2}},
		"no voter goes while one is not heard of":        {[]memberState{member(1, "x", false), member(2, "x", false), silent(member(3, "y", false), 2*time.Second), member(4, "z", false)}, membershipChange{}},
		"a learner of a domain that has one stays":       {[]memberState{member(1, "x", false), member(2, "x", false), member(3, "y", false), member(4, "y", true)}, membershipChange{}},
		"unknown domains are left alone":                 {[]memberState{member(1, "", false), member(2, "", false), member(3, "", false), member(4, "", true)}, membershipChange{}},
		"a learner of an unknown domain replaces nobody": {[]memberState{member(1, "x", false), member(2, "x", false), member(3, "y", false), member(4, "", true)}, membershipChange{}},
	} {
		got := nextMembershipChange(c.members, 3)
		got.cause = ""
		if got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}
