package once

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/sesamemux/sesamemux/pkg/bench"
	machine "github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const mebibyte = 1 << 20

// recordCost measures the memory and the snapshot of records with answers of several sizes, and of
// expired keys.
func (e scale) recordCost(context.Context) ([]bench.Variant, error) {
	var variants []bench.Variant
	for _, size := range []int{0, 200, 1000} {
		v, err := e.recordVariant(fmt.Sprintf("answer of %d bytes", size), size, false)
		if err != nil {
			return nil, err
		}
		v.Baseline = size == 200
		variants = append(variants, v)
	}
	v, err := e.recordVariant("expired opaque key", 200, true)
	return append(variants, v), err
}

func (e scale) recordVariant(name string, size int, expired bool) (bench.Variant, error) {
	before := heapBytes()
	m := newFilledMachine(e.records, size)
	if expired {
		m.Tick(recordStart + view.Time(2*time.Hour))
	}
	held := heapBytes() - before
	began := time.Now()
	b, err := m.Snapshot()
	took := time.Since(began)
	runtime.KeepAlive(m)
	n := float64(e.records)
	return bench.Variant{Name: name, Figures: []bench.Figure{
		{Name: "memory", Value: held / n, Unit: "B/record"},
		{Name: "records in memory", Value: n / held * mebibyte, Unit: "1/MiB"},
		{Name: "snapshot", Value: float64(len(b)) / n, Unit: "B/record"},
		{Name: "time of a snapshot", Value: milliseconds(int64(took)), Unit: "ms"},
	}}, err
}

// recordStart is the replicated time at which the records are made.
const recordStart = view.Time(1_800_000_000 * int64(time.Second))

// newFilledMachine returns a machine with n recorded answers of the given size.
func newFilledMachine(n, size int) *machine.Machine {
	m := machine.NewMachine(machine.Options{})
	m.Publish(measuredObjects())
	for i := range n {
		x := intent(i)
		m.Intend(recordStart, x)
		m.Conclude(recordStart, conclusion(x, size))
	}
	return m
}

func intent(i int) machine.Intent {
	return machine.Intent{
		Organisation: organisation,
		Service:      serviceName,
		Key:          fmt.Sprintf("repack-%032d", i),
		Digest:       fmt.Sprintf("%043d", i),
		Gate:         "g1",
		Attempt:      fmt.Sprintf("g1.1.%d.1", i),
		Host:         "r1",
	}
}

func conclusion(x machine.Intent, size int) machine.Conclusion {
	return machine.Conclusion{
		Organisation: x.Organisation,
		Service:      x.Service,
		Key:          x.Key,
		Attempt:      x.Attempt,
		Outcome:      outcome.Ran,
		Answer: &machine.Answer{
			Status: 200,
			Header: []machine.HeaderField{{Name: "Content-Type", Value: "application/json"}},
			Body:   make([]byte, size),
			Size:   int64(size),
		},
	}
}

// heapBytes returns the number of bytes in use on the heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
