package once

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
	"github.com/sesamemux/sesamemux/pkg/replica/memnet"
)

const (
	replicas     = 3
	networkDelay = time.Millisecond // one way
	electionWait = 10 * time.Second
	retryPause   = 20 * time.Millisecond
)

// quorum is three replicas with files of their own.
type quorum struct {
	dir    string
	nodes  []*replica.Node
	leader atomic.Int64 // index of the node to ask first
}

func newQuorum(syncEach bool) (*quorum, error) {
	dir, err := os.MkdirTemp("", "sesamemux-once-*")
	if err != nil {
		return nil, err
	}
	q := &quorum{dir: dir}
	net := memnet.New(1, memnet.Quality{MinDelay: networkDelay, MaxDelay: networkDelay})
	var members []replica.Peer
	for id := raft.ID(1); id <= replicas; id++ {
		members = append(members, replica.Peer{ID: id, Address: "memory"})
	}
	for _, p := range members {
		n, err := replica.Open(replica.Config{
			ID:        p.ID,
			ClusterID: "measure",
			Address:   p.Address,
			Members:   members,
			Bootstrap: true,
			Dir:       filepath.Join(dir, strconv.Itoa(int(p.ID))),
			Transport: net.Transport(),
			Applier:   newApplier(),
			SyncEach:  syncEach,
			Seed:      uint64(p.ID),
		})
		if err != nil {
			return nil, errors.Join(err, q.close())
		}
		net.Attach(p.ID, n.Step)
		q.nodes = append(q.nodes, n)
	}
	return q, q.waitForLeader()
}

func (q *quorum) waitForLeader() error {
	ctx, cancel := context.WithTimeout(context.Background(), electionWait)
	defer cancel()
	for {
		for i, n := range q.nodes {
			if _, err := n.ReadIndex(ctx); err == nil {
				q.leader.Store(int64(i))
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryPause):
		}
	}
}

// propose hands a command to the leader.
func (q *quorum) propose(ctx context.Context, c command) (any, error) {
	b, err := msgpack.Marshal(&c)
	if err != nil {
		return nil, err
	}
	for {
		at := q.leader.Load()
		v, err := q.nodes[at].Propose(ctx, b)
		var moved *replica.NotLeaderError
		if !errors.As(err, &moved) {
			return v, err
		}
		next := (at + 1) % int64(len(q.nodes))
		if moved.Leader != 0 {
			next = int64(moved.Leader) - 1
		}
		q.leader.CompareAndSwap(at, next)
		time.Sleep(retryPause)
	}
}

func (q *quorum) close() error {
	for _, n := range q.nodes {
		n.Stop()
	}
	return os.RemoveAll(q.dir)
}
