package groups

import (
	"context"
	"runtime"
	"time"

	"github.com/sesamemux/sesamemux/pkg/bench"
	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/groupday"
)

// decisionCost measures the time and memory of the group machine in the target fleet and in a tenth of
// it.
func decisionCost(context.Context) ([]bench.Variant, error) {
	target, err := measureCost("12,000 hosts", groupday.TargetFleet(targetSpares), groupday.TargetFaultCounts())
	if err != nil {
		return nil, err
	}
	tenth, err := measureCost("1,200 hosts", groupday.TenthOfTargetFleet(targetSpares), groupday.TenthOfTargetFaultCounts())
	if err != nil {
		return nil, err
	}
	tenth.Baseline = true
	return []bench.Variant{target, tenth}, nil
}

func measureCost(name string, f groupday.Fleet, t groupday.FaultCounts) (bench.Variant, error) {
	v := bench.Variant{Name: name}
	d := groupday.NewSimulation(f, group.Options{}, 1, stopwatch())
	if _, err := d.FormGroups(); err != nil {
		return v, err
	}
	r := d.RunDay(t, 1)
	begun := time.Now()
	snapshot, err := d.Machine().Snapshot()
	if err != nil {
		return v, err
	}
	snapshotTime := time.Since(begun)
	heap, restoreTime, err := measureRestore(snapshot)
	if err != nil {
		return v, err
	}
	v.Figures = []bench.Figure{
		{Name: "event, mean", Value: float64(r.Cost.MeanEventTime().Nanoseconds()), Unit: "ns/op"},
		{Name: "tick, mean", Value: float64(r.Cost.MeanTickTime().Nanoseconds()), Unit: "ns/op"},
		{Name: "step, longest", Value: r.Cost.LongestStep.Seconds() * 1e3, Unit: "ms"},
		{Name: "events a day", Value: float64(r.Cost.Events), Unit: ""},
		{Name: "snapshot", Value: float64(len(snapshot)), Unit: "B"},
		{Name: "snapshot taken in", Value: snapshotTime.Seconds() * 1e3, Unit: "ms"},
		{Name: "restored in", Value: restoreTime.Seconds() * 1e3, Unit: "ms"},
		{Name: "memory", Value: float64(heap), Unit: "B"},
	}
	return v, nil
}

// measureRestore restores a machine from a snapshot and returns its memory in bytes and the time that
// the restore took.
func measureRestore(snapshot []byte) (uint64, time.Duration, error) {
	before := heapInUse()
	m := group.NewMachine(group.Options{})
	begun := time.Now()
	err := m.Restore(snapshot)
	taken := time.Since(begun)
	after := heapInUse()
	runtime.KeepAlive(m)
	return after - min(before, after), taken, err
}

func heapInUse() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
