package consensus

import (
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"time"

	"github.com/sesamemux/sesamemux/pkg/bench"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
	"github.com/sesamemux/sesamemux/pkg/replica/memnet"
)

// restartClients fill the log fast.
const restartClients = 256

// restart times a lone replica from Open to the first read, by how many
// changes it has taken, with and without snapshots.
func (s Sizes) restart(ctx context.Context) ([]bench.Variant, error) {
	dir, err := os.MkdirTemp("", "sesame-bench")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	var variants []bench.Variant
	for _, every := range []uint64{math.MaxUint64 / 2, replica.DefaultSnapshotEvery} {
		for _, changes := range s.RestartLogLengths {
			v, err := restartVariant(ctx, filepath.Join(dir, fmt.Sprint(every, "-", changes)), changes, every)
			if err != nil {
				return nil, err
			}
			v.Baseline = len(variants) == 0
			variants = append(variants, v)
		}
	}
	return variants, nil
}

func restartVariant(ctx context.Context, dir string, changes int, every uint64) (bench.Variant, error) {
	name := fmt.Sprintf("%d changes, no snapshots", changes)
	if every == replica.DefaultSnapshotEvery {
		name = fmt.Sprintf("%d changes, snapshot every %d", changes, every)
	}
	c, err := openAlone(ctx, dir, every)
	if err != nil {
		return bench.Variant{}, err
	}
	err = c.load(ctx, restartClients, int64(changes), func(time.Duration) {})
	c.stop()
	if err != nil {
		return bench.Variant{}, err
	}
	start := time.Now()
	again, err := replica.Open(aloneConfig(dir, every))
	if err != nil {
		return bench.Variant{}, err
	}
	opened := time.Since(start)
	c = &cluster{nodes: []*replica.Node{again}}
	defer c.stop()
	if err := c.awaitLeader(ctx); err != nil {
		return bench.Variant{}, err
	}
	return bench.Variant{Name: name, Figures: []bench.Figure{
		{Name: "open", Value: milliseconds(int64(opened)), Unit: "ms"},
		{Name: "first read, with the election", Value: milliseconds(int64(time.Since(start))), Unit: "ms"},
	}}, nil
}

func openAlone(ctx context.Context, dir string, every uint64) (*cluster, error) {
	n, err := replica.Open(aloneConfig(dir, every))
	if err != nil {
		return nil, err
	}
	c := &cluster{nodes: []*replica.Node{n}}
	return c, c.awaitLeader(ctx)
}

func aloneConfig(dir string, every uint64) replica.Config {
	return replica.Config{
		ID:            1,
		ClusterID:     "bench",
		Members:       []replica.Peer{{ID: raft.ID(1), Address: "mem"}},
		Bootstrap:     true,
		Dir:           dir,
		Transport:     memnet.New(1, memnet.Conditions{}).Transport(),
		Applier:       newTable(),
		SnapshotEvery: every,
		Seed:          1,
	}
}
