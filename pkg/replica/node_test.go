package replica_test

import (
	"context"
	"encoding/binary"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
	"github.com/sesamemux/sesamemux/pkg/replica/memnet"
	"github.com/sesamemux/sesamemux/pkg/wal"
)

// sum adds up commands of 8 bytes.
type sum struct{ total uint64 }

func (s *sum) Apply(_ uint64, command []byte) any {
	s.total += binary.LittleEndian.Uint64(command)
	return s.total
}

func (s *sum) Snapshot() ([]byte, error) {
	return binary.LittleEndian.AppendUint64(nil, s.total), nil
}

func (s *sum) Restore(snapshot []byte) error {
	s.total = binary.LittleEndian.Uint64(snapshot)
	return nil
}

func number(n uint64) []byte {
	return binary.LittleEndian.AppendUint64(nil, n)
}

// cluster runs replicas over a memory network and memory disks.
type cluster struct {
	t     *testing.T
	net   *memnet.Network
	peers []replica.Peer
	nodes map[raft.ID]*replica.Node
	disks map[raft.ID]*disk.Mem
	sums  map[raft.ID]*sum
	edit  func(*replica.Config)
}

func newCluster(t *testing.T, size int, edit func(*replica.Config)) *cluster {
	c := &cluster{
		t:     t,
		net:   memnet.New(1, memnet.Conditions{MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond}),
		nodes: map[raft.ID]*replica.Node{},
		disks: map[raft.ID]*disk.Mem{},
		sums:  map[raft.ID]*sum{},
		edit:  edit,
	}
	for id := raft.ID(1); int(id) <= size; id++ {
		c.peers = append(c.peers, replica.Peer{ID: id, Address: "mem"})
	}
	for _, p := range c.peers {
		c.disks[p.ID] = disk.NewMem(uint64(p.ID))
		c.start(p.ID, false)
	}
	return c
}

func (c *cluster) config(id raft.ID, join bool) replica.Config {
	c.sums[id] = &sum{}
	cfg := replica.Config{
		ID:        id,
		ClusterID: "test",
		Address:   "mem",
		Members:   c.peers,
		Bootstrap: !join,
		Join:      join,
		Dir:       "data",
		FS:        c.disks[id],
		Transport: c.net.Transport(),
		Applier:   c.sums[id],
		Seed:      uint64(id),
	}
	if c.edit != nil {
		c.edit(&cfg)
	}
	return cfg
}

func (c *cluster) start(id raft.ID, join bool) *replica.Node {
	c.t.Helper()
	n, err := replica.Open(c.config(id, join))
	if err != nil {
		c.t.Fatal(err)
	}
	c.nodes[id] = n
	c.net.Attach(id, n.Step)
	return n
}

func (c *cluster) stop(id raft.ID) {
	c.net.Attach(id, nil)
	c.nodes[id].Stop()
	delete(c.nodes, id)
}

func (c *cluster) stopAll() {
	for id := range c.nodes {
		c.stop(id)
	}
}

// leader waits for a replica that serves reads.
func (c *cluster) leader() raft.ID {
	c.t.Helper()
	for range 200 {
		for _, p := range c.peers {
			n := c.nodes[p.ID]
			if n == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
			_, err := n.ReadIndex(ctx)
			cancel()
			if err == nil {
				return p.ID
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatal("no leader")
	return 0
}

func (c *cluster) propose(id raft.ID, n uint64) uint64 {
	c.t.Helper()
	v, err := c.nodes[id].Propose(c.t.Context(), number(n))
	if err != nil {
		c.t.Fatal(err)
	}
	return v.(uint64)
}

func TestClusterCommitsAndFailsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		defer c.stopAll()
		first := c.leader()
		if got := c.propose(first, 5); got != 5 {
			t.Fatalf("first result %d", got)
		}
		for id, n := range c.nodes {
			_, err := n.Propose(t.Context(), number(1))
			var notLeader *replica.NotLeaderError
			if id != first && (!errors.As(err, &notLeader) || notLeader.Leader != first) {
				t.Fatalf("replica %d: %v", id, err)
			}
		}
		c.propose(first, 2)
		c.stop(first)
		second := c.leader()
		if got := c.propose(second, 1); got != 9 && got != 8 {
			t.Fatalf("after fail-over %d", got)
		}
	})
}

func TestRestartComesBackToTheSameState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, func(cfg *replica.Config) {
			cfg.SnapshotEvery = 50
			cfg.KeepEntries = 5
			cfg.SegmentBytes = 2048
		})
		defer c.stopAll()
		id := c.leader()
		for range 320 {
			c.propose(id, 1)
		}
		for _, p := range c.peers {
			c.stop(p.ID)
			c.disks[p.ID].Crash()
			c.disks[p.ID].Restart()
		}
		for _, p := range c.peers {
			c.start(p.ID, false)
		}
		if got := c.propose(c.leader(), 1); got != 321 {
			t.Fatalf("after restart %d", got)
		}
	})
}

func TestReplacedMemberTakesOverBySnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, func(cfg *replica.Config) {
			cfg.SnapshotEvery = 20
			cfg.KeepEntries = 5
		})
		defer c.stopAll()
		id := c.leader()
		for range 100 {
			c.propose(id, 1)
		}
		lost := raft.ID(1)
		if id == lost {
			lost = 2
		}
		c.stop(lost)
		c.disks[4] = disk.NewMem(4)
		c.start(4, true)
		leader := c.nodes[id]
		if err := leader.AddLearner(t.Context(), 4, "mem"); err != nil {
			t.Fatal(err)
		}
		if err := leader.Promote(t.Context(), 4); err != nil {
			t.Fatal(err)
		}
		if err := leader.Remove(t.Context(), lost); err != nil {
			t.Fatal(err)
		}
		if err := leader.AddLearner(t.Context(), lost, "mem"); !errors.Is(err, raft.ErrIDUsed) {
			t.Fatalf("old ID: %v", err)
		}
		if err := leader.TransferLeadership(t.Context(), 4); err != nil {
			t.Fatal(err)
		}
		c.peers = append(c.peers, replica.Peer{ID: 4})
		if got := c.leader(); got != 4 {
			t.Fatalf("leader is %d", got)
		}
		if got := c.propose(4, 1); got != 101 {
			t.Fatalf("state %d", got)
		}
	})
}

// A replica with a lost disk or an older folder ends by itself.
func TestForgetfulReplicaIsRefused(t *testing.T) {
	cases := map[string]struct {
		reason raft.Refusal
		forget func(c *cluster, id raft.ID, old disk.Image)
	}{
		"lost disk": {raft.RefusalStore, func(c *cluster, id raft.ID, _ disk.Image) {
			c.disks[id] = disk.NewMem(9)
		}},
		"older folder": {raft.RefusalRolledBack, func(c *cluster, id raft.ID, old disk.Image) {
			c.disks[id].Restore(old)
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3, nil)
				defer c.stopAll()
				leader := c.leader()
				victim := leader%3 + 1
				old := c.disks[victim].Image()
				for range 10 {
					c.propose(leader, 1)
				}
				time.Sleep(time.Second)
				c.stop(victim)
				tc.forget(c, victim, old)
				n := c.start(victim, false)
				<-n.Done()
				var refused *replica.RefusedError
				if !errors.As(n.Err(), &refused) || refused.Reason != tc.reason {
					t.Fatalf("ended with %v", n.Err())
				}
				c.propose(leader, 1)
			})
		})
	}
}

// Large commands bring a snapshot before many entries do.
func TestSnapshotFollowsBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, func(cfg *replica.Config) { cfg.SnapshotBytes = 64 })
		defer c.stopAll()
		id := c.leader()
		for range 9 {
			c.propose(id, 1)
		}
		time.Sleep(time.Second)
		st, err := c.nodes[id].Status(t.Context())
		if err != nil || st.Snapshot == 0 {
			t.Fatalf("snapshot at %d, %v", st.Snapshot, err)
		}
	})
}

// After a loss of power two of three start alone, and serve what was accepted.
func TestMajorityStartsWithoutTheThird(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		defer c.stopAll()
		id := c.leader()
		for range 10 {
			c.propose(id, 1)
		}
		for _, p := range c.peers {
			c.stop(p.ID)
			c.disks[p.ID].Crash()
			c.disks[p.ID].Restart()
		}
		c.start(id, false)
		c.start(id%3+1, false)
		if got := c.propose(c.leader(), 1); got != 11 {
			t.Fatalf("state %d", got)
		}
	})
}

// A replica that joins may start several times before it is added.
func TestJoiningReplicaStartsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		defer c.stopAll()
		leader := c.nodes[c.leader()]
		c.disks[4] = disk.NewMem(4)
		for range 3 {
			c.start(4, true)
			time.Sleep(time.Second)
			c.stop(4)
			c.disks[4].Crash()
			c.disks[4].Restart()
		}
		c.start(4, true)
		if err := leader.AddLearner(t.Context(), 4, "mem"); err != nil {
			t.Fatal(err)
		}
		if err := leader.Promote(t.Context(), 4); err != nil {
			t.Fatal(err)
		}
	})
}

// A failed sync ends the replica; what waited has an unknown outcome.
func TestFailedSyncEndsTheReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, nil)
		id := c.leader()
		c.disks[id].SetInjector(func(op disk.Operation, _ string) disk.Fault {
			if op == disk.OpSync {
				return disk.FailSync
			}
			return disk.NoFault
		})
		n := c.nodes[id]
		if _, err := n.Propose(t.Context(), number(1)); !errors.Is(err, replica.ErrUnknownOutcome) {
			t.Fatalf("proposal: %v", err)
		}
		<-n.Done()
		if !errors.Is(n.Err(), wal.ErrFailed) {
			t.Fatalf("ended with %v", n.Err())
		}
		if _, err := n.Propose(t.Context(), number(1)); !errors.Is(err, replica.ErrStopped) {
			t.Fatalf("later proposal: %v", err)
		}
	})
}
