package once

import (
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/bench"
)

// area names this package among the measures.
const area = "once"

// effort says how long measures take.
type effort struct {
	calls   int           // one after another
	span    time.Duration // of many callers at once
	records int           // held by one machine
	seeds   uint64        // of simulated runs
}

// full is the effort of published figures.
var full = effort{calls: 400, span: 2 * time.Second, records: 50_000, seeds: 20}

// Measures returns the measures of this area. The one on unknown outcomes
// needs virtual time, which only test binaries have: elsewhere it is left out,
// and BenchmarkFigures of this package's tests gives it.
func Measures() []bench.Measure { return measures(full) }

func measures(e effort) []bench.Measure {
	list := []bench.Measure{
		{Area: area, Name: "cost of a once-only call", Run: e.cost},
		{Area: area, Name: "cost of a record", Run: e.recordCost},
		{Area: area, Name: "records over several quorums", Run: e.shards},
		{Area: area, Name: "upstreams lost to one bad request", Run: e.lost},
	}
	if testing.Testing() {
		list = append(list, bench.Measure{Area: area, Name: "unknown outcomes", Run: e.unknown})
	}
	return list
}
