package consensus

import (
	"context"
	"fmt"
	"math"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sesamemux/sesamemux/pkg/bench"
	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

const (
	highestLatency = int64(time.Minute)
	latencyDigits  = 3
	syncSamples    = 200
	percentile50   = 50
	percentile99   = 99
)

// commits compares group commit with one sync per entry, on real files.
func (s Sizes) commits(ctx context.Context) ([]bench.Variant, error) {
	dir, err := os.MkdirTemp("", "sesame-bench")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	probe, err := syncLatency(dir)
	if err != nil {
		return nil, err
	}
	variants := []bench.Variant{{Name: "sync of a file alone", Figures: probe}}
	for _, syncEachEntry := range []bool{true, false} {
		for _, clients := range s.Clients {
			v, err := s.commitVariant(ctx, dir, clients, syncEachEntry)
			if err != nil {
				return nil, err
			}
			variants = append(variants, v)
		}
	}
	return variants, nil
}

func (s Sizes) commitVariant(ctx context.Context, dir string, clients int, syncEachEntry bool) (bench.Variant, error) {
	name := fmt.Sprintf("group commit, %d clients", clients)
	if syncEachEntry {
		name = fmt.Sprintf("one sync per entry, %d clients", clients)
	}
	sub, err := os.MkdirTemp(dir, "run")
	if err != nil {
		return bench.Variant{}, err
	}
	c, err := startCluster(ctx, sub, func(raft.ID) disk.FS { return disk.OS{} }, func(cfg *replica.Config) { cfg.SyncEachEntry = syncEachEntry })
	if err != nil {
		return bench.Variant{}, err
	}
	defer c.stop()
	h := hdrhistogram.New(1, highestLatency, latencyDigits)
	var mu sync.Mutex
	timed, cancel := context.WithTimeout(ctx, s.CommitTime)
	defer cancel()
	start := time.Now()
	err = c.proposeAll(timed, clients, math.MaxInt64, func(d time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		_ = h.RecordValue(int64(d))
	})
	rate := float64(h.TotalCount()) / time.Since(start).Seconds()
	figures := append([]bench.Figure{{Name: "commits", Value: rate, Unit: "1/s"}}, latencies(h)...)
	return bench.Variant{Name: name, Baseline: syncEachEntry && clients == s.Clients[0], Figures: figures}, err
}

func latencies(h *hdrhistogram.Histogram) []bench.Figure {
	return []bench.Figure{
		{Name: "p50", Value: milliseconds(h.ValueAtQuantile(percentile50)), Unit: "ms"},
		{Name: "p99", Value: milliseconds(h.ValueAtQuantile(percentile99)), Unit: "ms"},
		{Name: "max", Value: milliseconds(h.Max()), Unit: "ms"},
	}
}

func milliseconds(ns int64) float64 {
	return float64(ns) / float64(time.Millisecond)
}

// syncLatency measures the latency of small appends to a file, each with a sync.
func syncLatency(dir string) ([]bench.Figure, error) {
	f, err := disk.OS{}.Create(dir + "/probe")
	if err != nil {
		return nil, err
	}
	defer f.Close()
	h := hdrhistogram.New(1, highestLatency, latencyDigits)
	for range syncSamples {
		start := time.Now()
		if _, err := f.Write(newCommand(0)); err != nil {
			return nil, err
		}
		if err := f.Sync(); err != nil {
			return nil, err
		}
		_ = h.RecordValue(int64(time.Since(start)))
	}
	return latencies(h), nil
}
