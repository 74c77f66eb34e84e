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

// restartClients is the number of concurrent clients that fill the log.
const restartClients = 256

// restart measures the time from Open to the first read of a single replica, after several numbers
// of committed changes, with and without snapshots.
func (s Sizes) restart(ctx context.Context) ([]bench.Variant, error) {
	dir, err := os.MkdirTemp("", "sesame-bench")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	var variants []bench.Variant
	for _, snapshotEvery := range []uint64{math.MaxUint64 / 2, replica.DefaultSnapshotEvery} {
		for _, changes := range s.RestartLogLengths {
			v, err := restartVariant(ctx, filepath.Join(dir, fmt.Sprint(snapshotEvery, "-", changes)), changes, snapshotEvery)
			if err != nil {
				return nil, err
			}
			v.Baseline = len(variants) == 0
			variants = append(variants, v)
		}
	}
	return variants, nil
}

func restartVariant(ctx context.Context, dir string, changes int, snapshotEvery uint64) (bench.Variant, error) {
	name := fmt.Sprintf("%d changes, no snapshots", changes)
	if snapshotEvery == replica.DefaultSnapshotEvery {
		name = fmt.Sprintf("%d changes, snapshot every %d", changes, snapshotEvery)
	}
	c, err := openSingle(ctx, dir, snapshotEvery)
	if err != nil {
		return bench.Variant{}, err
	}
	err = c.proposeAll(ctx, restartClients, int64(changes), func(time.Duration) {})
	c.stop()
	if err != nil {
		return bench.Variant{}, err
	}
	start := time.Now()
	reopened, err := replica.Open(singleConfig(dir, snapshotEvery))
	if err != nil {
		return bench.Variant{}, err
	}
	opened := time.Since(start)
	c = &cluster{nodes: []*replica.Node{reopened}}
	defer c.stop()
	if err := c.awaitLeader(ctx); err != nil {
		return bench.Variant{}, err
	}
	return bench.Variant{Name: name, Figures: []bench.Figure{
		{Name: "open", Value: milliseconds(int64(opened)), Unit: "ms"},
		{Name: "first read, with the election", Value: milliseconds(int64(time.Since(start))), Unit: "ms"},
	}}, nil
}

func openSingle(ctx context.Context, dir string, snapshotEvery uint64) (*cluster, error) {
	n, err := replica.Open(singleConfig(dir, snapshotEvery))
	if err != nil {
		return nil, err
	}
	c := &cluster{nodes: []*replica.Node{n}}
	return c, c.awaitLeader(ctx)
}

func singleConfig(dir string, snapshotEvery uint64) replica.Config {
	return replica.Config{
		ID:            1,
		ClusterID:     "bench",
		Members:       []replica.Peer{{ID: raft.ID(1), Address: "mem"}},
		Bootstrap:     true,
		Dir:           dir,
		Transport:     memnet.New(1, memnet.Conditions{}).Transport(),
		Applier:       newTable(),
		SnapshotEvery: snapshotEvery,
		Seed:          1,
	}
}
