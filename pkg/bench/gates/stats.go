package gates

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sesamemux/sesamemux/pkg/bench"
)

// stats are the figures of one run.
type stats struct {
	first   *hdrhistogram.Histogram // microseconds to the first token
	between *hdrhistogram.Histogram // microseconds between tokens
	total   *hdrhistogram.Histogram // microseconds to the whole answer
	offered int
	whole   int
	refused int
	late    int // given up at the deadline while running
	hops    int
	hits    int // prompt tokens found cached
	prompts int // prompt tokens
	over    int // steps of collapsed engines
	shares  int // published changes of shares
	span    time.Duration
}

const longestMicros = int64(10 * 60 * 1_000_000)

func newStats(span time.Duration) *stats {
	return &stats{
		first:   hdrhistogram.New(1, longestMicros, 3),
		between: hdrhistogram.New(1, longestMicros, 3),
		total:   hdrhistogram.New(1, longestMicros, 3),
		span:    span,
	}
}

func millis(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func share(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// figures returns what the measures show.
func (s *stats) figures() []bench.Figure {
	return []bench.Figure{
		{Name: "first token p50", Value: millis(s.first, 50), Unit: "ms"},
		{Name: "first token p95", Value: millis(s.first, 95), Unit: "ms"},
		{Name: "first token p99", Value: millis(s.first, 99), Unit: "ms"},
		{Name: "between tokens p50", Value: millis(s.between, 50), Unit: "ms"},
		{Name: "between tokens p95", Value: millis(s.between, 95), Unit: "ms"},
		{Name: "between tokens p99", Value: millis(s.between, 99), Unit: "ms"},
		{Name: "whole answer p95", Value: millis(s.total, 95), Unit: "ms"},
		{Name: "goodput", Value: float64(s.whole) / s.span.Seconds(), Unit: "1/s"},
		{Name: "whole", Value: 100 * share(s.whole, s.offered), Unit: "%"},
		{Name: "refused at once or from the queue", Value: 100 * share(s.refused, s.offered), Unit: "%"},
		{Name: "given up while running", Value: 100 * share(s.late, s.offered), Unit: "%"},
		{Name: "handed over", Value: 100 * share(s.hops, s.offered), Unit: "%"},
		{Name: "prompt tokens cached", Value: 100 * share(s.hits, s.prompts), Unit: "%"},
		{Name: "steps of collapsed engines", Value: float64(s.over), Unit: ""},
		{Name: "published shares", Value: float64(s.shares) / s.span.Seconds(), Unit: "1/s"},
	}
}
