package consensus

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
	"github.com/sesamemux/sesamemux/pkg/replica/memnet"
)

const (
	replicas      = 3
	leaderTimeout = 20 * time.Second
)

// cluster is a set of replicas in this process.
type cluster struct {
	nodes  []*replica.Node
	leader *replica.Node
}

func startCluster(ctx context.Context, dir string, fs func(id raft.ID) disk.FS, edit func(*replica.Config)) (*cluster, error) {
	net := memnet.New(1, memnet.Conditions{})
	var peers []replica.Peer
	for id := raft.ID(1); id <= replicas; id++ {
		peers = append(peers, replica.Peer{ID: id, Address: "mem"})
	}
	c := &cluster{}
	for _, p := range peers {
		cfg := replica.Config{
			ID:        p.ID,
			ClusterID: "bench",
			Members:   peers,
			Bootstrap: true,
			Dir:       filepath.Join(dir, fmt.Sprint(p.ID)),
			FS:        fs(p.ID),
			Transport: net.Transport(),
			Applier:   newTable(),
			Seed:      uint64(p.ID),
		}
		edit(&cfg)
		n, err := replica.Open(cfg)
		if err != nil {
			c.stop()
			return nil, err
		}
		net.Attach(p.ID, n.Step)
		c.nodes = append(c.nodes, n)
	}
	return c, c.awaitLeader(ctx)
}

func (c *cluster) awaitLeader(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, n := range c.nodes {
			if _, err := n.ReadIndex(ctx); err == nil {
				c.leader = n
				return nil
			}
		}
		time.Sleep(replica.DefaultTickInterval)
	}
	c.stop()
	return eris.New("no replica became leader within 20 s")
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.Stop()
	}
}

// proposeAll proposes commands from concurrent clients until the limit is reached or ctx ends, and calls
// done with the latency of each commit.
func (c *cluster) proposeAll(ctx context.Context, clients int, limit int64, done func(time.Duration)) error {
	var wg sync.WaitGroup
	var count atomic.Int64
	errs := make(chan error, clients)
	for range clients {
		wg.Go(func() {
			for {
				i := count.Add(1)
				if i > limit || ctx.Err() != nil {
					return
				}
				start := time.Now()
				if _, err := c.leader.Propose(context.WithoutCancel(ctx), newCommand(uint64(i))); err != nil {
					errs <- err
					return
				}
				done(time.Since(start))
			}
		})
	}
	wg.Wait()
	close(errs)
	return <-errs
}
