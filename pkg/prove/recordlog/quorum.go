package recordlog

import (
	"context"
	"errors"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
	"github.com/sesamemux/sesamemux/pkg/replica/memnet"
)

const (
	replicaCount = 3
	clusterID    = "records"
	retryPause   = 20 * time.Millisecond
	maxProposals = 100 // limit on the proposals of one command
)

// Quorum is a group of three replicas.
type Quorum struct {
	config  Config
	net     *memnet.Network
	members []replica.Peer

	mu     sync.Mutex
	nodes  map[raft.ID]*replica.Node
	disks  map[raft.ID]*disk.Mem
	leader raft.ID // replica to ask first
}

// New starts a quorum and waits until it has a leader or the context ends.
func New(ctx context.Context, c Config) (*Quorum, error) {
	q := &Quorum{
		config: c,
		net:    memnet.New(c.Seed, memnet.Conditions{MinDelay: c.Delay, MaxDelay: c.Delay}),
		nodes:  make(map[raft.ID]*replica.Node),
		disks:  make(map[raft.ID]*disk.Mem),
		leader: 1,
	}
	for id := raft.ID(1); id <= replicaCount; id++ {
		q.members = append(q.members, replica.Peer{ID: id, Address: "memory"})
		q.disks[id] = disk.NewMem(c.Seed + uint64(id))
	}
	for _, p := range q.members {
		if err := q.start(p.ID); err != nil {
			return nil, errors.Join(err, q.Close())
		}
	}
	if err := q.waitForLeader(ctx); err != nil {
		return nil, errors.Join(err, q.Close())
	}
	return q, nil
}

func (q *Quorum) start(id raft.ID) error {
	c := replica.Config{
		ID:            id,
		ClusterID:     clusterID,
		Address:       "memory",
		Members:       q.members,
		Bootstrap:     true,
		Dir:           filepath.Join(q.config.Dir, strconv.Itoa(int(id))),
		Transport:     q.net.Transport(),
		Applier:       NewApplier(q.config.Options, q.config.Set),
		SnapshotEvery: q.config.SnapshotEvery,
		SyncEachEntry: q.config.SyncEachEntry,
		Seed:          q.config.Seed + uint64(id),
	}
	if q.config.Dir == "" {
		c.FS = q.disks[id]
	}
	n, err := replica.Open(c)
	if err != nil {
		return err
	}
	q.mu.Lock()
	q.nodes[id] = n
	q.mu.Unlock()
	q.net.Attach(id, n.Step)
	return nil
}

func (q *Quorum) waitForLeader(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, ok := q.findLeader(ctx); ok {
			return nil
		}
		time.Sleep(retryPause)
	}
	return ctx.Err()
}

// findLeader returns the replica that serves linearizable reads.
func (q *Quorum) findLeader(ctx context.Context) (raft.ID, bool) {
	for _, p := range q.members {
		n := q.node(p.ID)
		if n == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		_, err := n.ReadIndex(ctx)
		cancel()
		if err == nil {
			q.setPreferred(p.ID)
			return p.ID, true
		}
	}
	return 0, false
}

func (q *Quorum) node(id raft.ID) *replica.Node {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.nodes[id]
}

func (q *Quorum) preferred() raft.ID {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.leader
}

func (q *Quorum) setPreferred(id raft.ID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leader = id
}

// Propose proposes a command to the leader. Its errors wrap once.ErrNotRecorded or
// once.ErrRecordUnknown.
func (q *Quorum) Propose(ctx context.Context, c Command) (Result, error) {
	b, err := msgpack.Marshal(&c)
	if err != nil {
		return Result{}, eris.Wrap(once.ErrNotRecorded, err.Error())
	}
	for range maxProposals {
		id := q.preferred()
		v, err := q.propose(ctx, id, b)
		if err == nil {
			return v.(Result), nil
		}
		if errors.Is(err, replica.ErrUnknownOutcome) {
			return Result{}, eris.Wrap(once.ErrRecordUnknown, err.Error())
		}
		var notLeader *replica.NotLeaderError
		if errors.As(err, &notLeader) && notLeader.Leader != 0 && notLeader.Leader != id {
			q.setPreferred(notLeader.Leader)
			continue
		}
		q.setPreferred(id%replicaCount + 1)
		if ctx.Err() != nil {
			break
		}
		time.Sleep(retryPause)
	}
	return Result{}, eris.Wrap(once.ErrNotRecorded, "no leader")
}

func (q *Quorum) propose(ctx context.Context, id raft.ID, b []byte) (any, error) {
	n := q.node(id)
	if n == nil {
		return nil, replica.ErrStopped
	}
	return n.Propose(ctx, b)
}
