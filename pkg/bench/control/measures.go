package control

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/bench"
	api "github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/leader"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/state"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	area = "control"
	// idleTime is the length of the measurement without changes.
	idleTime = 5 * time.Second
	// settleTime is the wait after the start, so that its messages have no effect on the idle figures.
	settleTime = 4 * time.Second
	// changeCount is the number of changes, published one per changeGap.
	changeCount = 12
	changeGap   = 250 * time.Millisecond
	// readyTimeout bounds the wait for all hosts, and for a revision, to be in force at all gates.
	readyTimeout = 60 * time.Second
)

// size is a size of the deployment.
type size struct {
	gates        int
	hostsPerGate int
}

func (s size) String() string {
	return fmt.Sprintf("%d gates, %d hosts", s.gates, s.gates*s.hostsPerGate)
}

// sizes returns the measured sizes: from the present deployment, over that of a region in the target
// deployment, to many gates at one quorum.
func sizes() []size {
	return []size{{9, 6}, {20, 35}, {40, 35}, {80, 35}, {340, 1}}
}

// Measures returns the measures of the control plane.
func Measures() []bench.Measure {
	return []bench.Measure{
		{Area: area, Name: "control by size", Run: controlBySize},
		{Area: area, Name: "upstream messages", Run: upstreamMessages},
	}
}

// controlBySize measures each size. The present deployment is the baseline.
func controlBySize(ctx context.Context) ([]bench.Variant, error) {
	var out []bench.Variant
	for i, s := range sizes() {
		figures, err := measureSize(ctx, s)
		if err != nil {
			return out, eris.Wrap(err, s.String())
		}
		out = append(out, bench.Variant{Name: s.String(), Baseline: i == 0, Figures: figures})
	}
	return out, nil
}

// deployment is a running deployment of one size.
type deployment struct {
	size    size
	cluster *cluster
	gates   []*gate
	bytes   atomic.Int64 // over the gates' connections
}

func measureSize(ctx context.Context, s size) ([]bench.Figure, error) {
	c, err := startCluster()
	if err != nil {
		return nil, err
	}
	defer c.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &deployment{size: s, cluster: c}
	for i := range s.gates {
		g := newGate(c, i, s.hostsPerGate, &d.bytes)
		d.gates = append(d.gates, g)
		go g.run(ctx)
	}
	if err := d.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	idle := d.measureIdle()
	changes, err := d.measureChanges(ctx)
	if err != nil {
		return nil, err
	}
	return slices.Concat(idle, changes, d.measureMemory()), nil
}

// awaitReady waits until every host is in the view of every gate.
func (d *deployment) awaitReady() error {
	want := d.size.gates * d.size.hostsPerGate
	for begin := time.Now(); time.Since(begin) < readyTimeout; time.Sleep(100 * time.Millisecond) {
		if d.ready(want) {
			return nil
		}
	}
	return eris.Errorf("not all gates had all %d hosts in force within %v", want, readyTimeout)
}

func (d *deployment) ready(want int) bool {
	for _, g := range d.gates {
		g.mu.Lock()
		n := g.view.Hosts.Len()
		g.mu.Unlock()
		if n < want {
			return false
		}
	}
	return true
}

// measureIdle measures the messages and the processor time while nothing changes.
func (d *deployment) measureIdle() []bench.Figure {
	syncs, gateBytes, keeperBytes, cpu := d.syncs(), d.bytes.Load(), d.cluster.bytes.Load(), processorTime()
	start := time.Now()
	time.Sleep(idleTime)
	took := time.Since(start).Seconds()
	gates := float64(d.size.gates)
	return []bench.Figure{
		{Name: "syncs of a gate", Value: float64(d.syncs()-syncs) / took / gates, Unit: "1/s"},
		{Name: "bytes of a gate", Value: float64(d.bytes.Load()-gateBytes) / took / gates, Unit: "B/s"},
		{Name: "bytes between keepers", Value: float64(d.cluster.bytes.Load()-keeperBytes) / took, Unit: "B/s"},
		{Name: "processor, gates and keepers", Value: 100 * (processorTime() - cpu).Seconds() / took, Unit: "% of a core"},
	}
}

func (d *deployment) syncs() int64 {
	var n int64
	for _, g := range d.gates {
		n += g.syncs.Load()
	}
	return n
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureChanges publishes changes of the objects and measures the times until they are accepted and in
// force.
func (d *deployment) measureChanges(ctx context.Context) ([]bench.Figure, error) {
	caller := leader.NewCaller(d.cluster.addresses, rpc.DialTCP(nil))
	defer caller.Close()
	var accepts, inForce []time.Duration
	gateBytes := d.bytes.Load()
	for i := range changeCount {
		start := time.Now()
		var result api.ChangeResult
		req := api.ApplyRequest{
			ChangeID:     fmt.Sprintf("change-%d", i),
			BaseRevision: uint64(i),
			File:         "objects.ini",
			Text:         fmt.Sprintf("[failure-domain fd-a]\nregion = r1\n[organisation o1]\nweight = %d\n", i+1),
		}
		if err := caller.Call(ctx, api.MethodApply, req, &result); err != nil {
			return nil, err
		}
		accepted := time.Now()
		accepts = append(accepts, accepted.Sub(start))
		time.Sleep(changeGap)
		slowest, err := d.awaitInForce(result.ViewRevision, accepted)
		if err != nil {
			return nil, err
		}
		inForce = append(inForce, slowest)
	}
	slices.Sort(accepts)
	slices.Sort(inForce)
	return []bench.Figure{
		{Name: "accepted, median", Value: milliseconds(accepts[len(accepts)/2]), Unit: "ms"},
		{Name: "in force on all gates after acceptance, median", Value: milliseconds(inForce[len(inForce)/2]), Unit: "ms"},
		{Name: "in force on all gates after acceptance, highest", Value: milliseconds(inForce[len(inForce)-1]), Unit: "ms"},
		{Name: "bytes of a gate with 4 changes a second", Value: float64(d.bytes.Load()-gateBytes) / float64(d.size.gates) / (changeCount * changeGap.Seconds()), Unit: "B/s"},
	}, nil
}

// awaitInForce waits until a revision is in force at all gates and returns the time from a moment until
// the last gate had it.
func (d *deployment) awaitInForce(r view.Revision, from time.Time) (time.Duration, error) {
	var slowest time.Duration
	for begin := time.Now(); time.Since(begin) < readyTimeout; time.Sleep(10 * time.Millisecond) {
		slowest = 0
		missing := false
		for _, g := range d.gates {
			took, ok := g.timeToForce(r, from)
			missing = missing || !ok
			slowest = max(slowest, took)
		}
		if !missing {
			return slowest, nil
		}
	}
	return 0, eris.Errorf("revision %d was not in force at all gates within %v", r, readyTimeout)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measureMemory measures the size of the replicated state of one keeper, in a snapshot and in memory.
func (d *deployment) measureMemory() []bench.Figure {
	snapshot, err := d.cluster.stores[0].Snapshot()
	if err != nil {
		return nil
	}
	restored := state.NewStore()
	runtime.GC()
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if err := restored.Restore(snapshot); err != nil {
		return nil
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(restored)
	return []bench.Figure{
		{Name: "snapshot", Value: float64(len(snapshot)) / 1024, Unit: "KiB"},
		{Name: "replicated state in memory", Value: (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / 1024, Unit: "KiB"},
	}
}
