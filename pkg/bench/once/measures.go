package once

import (
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/bench"
)

const area = "once"

// scale sets how much a run measures.
type scale struct {
	calls    int           // made one after another
	duration time.Duration // of each throughput measurement
	records  int           // in one machine
	seeds    uint64        // number of simulated runs
}

// fullScale is the scale of the published figures.
var fullScale = scale{calls: 400, duration: 2 * time.Second, records: 50_000, seeds: 20}

// Measures returns the measures of this area. The measure of unknown outcomes needs virtual time,
// which only test binaries have. In other binaries it is left out; BenchmarkFigures in this package's
// tests runs it.
func Measures() []bench.Measure { return measures(fullScale) }

func measures(e scale) []bench.Measure {
	list := []bench.Measure{
		{Area: area, Name: "cost of a once-only call", Run: e.cost},
		{Area: area, Name: "cost of a record", Run: e.recordCost},
		{Area: area, Name: "records over several quorums", Run: e.shards},
		{Area: area, Name: "upstreams lost to one bad request", Run: e.upstreamsLost},
	}
	if testing.Testing() {
		list = append(list, bench.Measure{Area: area, Name: "unknown outcomes", Run: e.unknownOutcomes})
	}
	return list
}
