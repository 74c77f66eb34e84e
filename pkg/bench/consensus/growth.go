package consensus

import (
	"context"
	"math"
	"runtime"
	"time"

	"github.com/sesamemux/sesamemux/pkg/bench"
	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

const (
	growthClients = 256
	growthSteps   = 10
	mebibyte      = 1 << 20
)

// growth measures the size of the data folder and of the heap while many small changes are committed,
// with and without snapshots.
func (s Sizes) growth(ctx context.Context) ([]bench.Variant, error) {
	without, err := s.growthVariant(ctx, "no snapshots", math.MaxUint64/2)
	if err != nil {
		return nil, err
	}
	without.Baseline = true
	with, err := s.growthVariant(ctx, "snapshot every 10000", replica.DefaultSnapshotEvery)
	return []bench.Variant{without, with}, err
}

func (s Sizes) growthVariant(ctx context.Context, name string, snapshotEvery uint64) (bench.Variant, error) {
	disks := map[raft.ID]*disk.Mem{}
	open := func(id raft.ID) disk.FS {
		disks[id] = disk.NewMem(uint64(id))
		return disks[id]
	}
	c, err := startCluster(ctx, "data", open, func(cfg *replica.Config) { cfg.SnapshotEvery = snapshotEvery })
	if err != nil {
		return bench.Variant{}, err
	}
	defer c.stop()
	largest, last := 0, 0
	for range growthSteps {
		if err := c.proposeAll(ctx, growthClients, int64(s.Changes/growthSteps), func(time.Duration) {}); err != nil {
			return bench.Variant{}, err
		}
		last = disks[1].Size("data/1/")
		largest = max(largest, last)
	}
	return bench.Variant{Name: name, Figures: []bench.Figure{
		{Name: "largest folder", Value: float64(largest) / mebibyte, Unit: "MiB"},
		{Name: "folder at the end", Value: float64(last) / mebibyte, Unit: "MiB"},
		{Name: "heap of three replicas and their disks", Value: heapBytes() / mebibyte, Unit: "MiB"},
	}}, nil
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
