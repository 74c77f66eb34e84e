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

const megabyte = 1 << 20

// recordCost measures memory and snapshots of records with answers of several
// sizes, and of expired keys.
func (e effort) recordCost(context.Context) ([]bench.Variant, error) {
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

func (e effort) recordVariant(name string, size int, expired bool) (bench.Variant, error) {
	before := heap()
	m := fill(e.records, size)
	if expired {
		m.Tick(start + view.Time(2*time.Hour))
	}
	held := heap() - before
	began := time.Now()
	b, err := m.Snapshot()
	took := time.Since(began)
	runtime.KeepAlive(m)
	n := float64(e.records)
	return bench.Variant{Name: name, Figures: []bench.Figure{
		{Name: "memory", Value: held / n, Unit: "B/record"},
		{Name: "records in memory", Value: n / held * megabyte, Unit: "1/MiB"},
		{Name: "snapshot", Value: float64(len(b)) / n, Unit: "B/record"},
		{Name: "time of a snapshot", Value: ms(int64(took)), Unit: "ms"},
	}}, err
}

// start is the replicated time at which records begin.
const start = view.Time(1_800_000_000 * int64(time.Second))

// fill returns a machine with recorded answers.
func fill(n, size int) *machine.Machine {
	m := machine.NewMachine(machine.Options{})
	m.Publish(measuredSet())
	for i := range n {
		x := intent(i)
		m.Intend(start, x)
		m.Conclude(start, conclusion(x, size))
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

// heap returns the bytes in use.
func heap() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
