package gates

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sesamemux/sesamemux/pkg/bench"
)

// stats holds the statistics of one simulation.
type stats struct {
	firstToken     *hdrhistogram.Histogram // microseconds to the first token
	betweenTokens  *hdrhistogram.Histogram // microseconds between tokens
	wholeAnswer    *hdrhistogram.Histogram // microseconds to the whole answer
	offered        int
	completed      int
	refused        int
	expired        int // ended by their deadline
	handedOver     int
	cachedTokens   int // prompt tokens found in the prefix cache
	promptTokens   int // prompt tokens
	collapsedSteps int // steps of engines that were overloaded while cold
	shareChanges   int // published shares
	span           time.Duration
}

const maxLatencyMicros = int64(10 * 60 * 1_000_000)

func newStats(span time.Duration) *stats {
	return &stats{
		firstToken:    hdrhistogram.New(1, maxLatencyMicros, 3),
		betweenTokens: hdrhistogram.New(1, maxLatencyMicros, 3),
		wholeAnswer:   hdrhistogram.New(1, maxLatencyMicros, 3),
		span:          span,
	}
}

func millis(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func ratio(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// figures returns the figures that the measures show.
func (s *stats) figures() []bench.Figure {
	return []bench.Figure{
		{Name: "first token p50", Value: millis(s.firstToken, 50), Unit: "ms"},
		{Name: "first token p95", Value: millis(s.firstToken, 95), Unit: "ms"},
		{Name: "first token p99", Value: millis(s.firstToken, 99), Unit: "ms"},
		{Name: "between tokens p50", Value: millis(s.betweenTokens, 50), Unit: "ms"},
		{Name: "between tokens p95", Value: millis(s.betweenTokens, 95), Unit: "ms"},
		{Name: "between tokens p99", Value: millis(s.betweenTokens, 99), Unit: "ms"},
		{Name: "whole answer p95", Value: millis(s.wholeAnswer, 95), Unit: "ms"},
		{Name: "goodput", Value: float64(s.completed) / s.span.Seconds(), Unit: "1/s"},
		{Name: "whole", Value: 100 * ratio(s.completed, s.offered), Unit: "%"},
		{Name: "refused at once or from the queue", Value: 100 * ratio(s.refused, s.offered), Unit: "%"},
		{Name: "given up while running", Value: 100 * ratio(s.expired, s.offered), Unit: "%"},
		{Name: "handed over", Value: 100 * ratio(s.handedOver, s.offered), Unit: "%"},
		{Name: "prompt tokens cached", Value: 100 * ratio(s.cachedTokens, s.promptTokens), Unit: "%"},
		{Name: "steps of collapsed engines", Value: float64(s.collapsedSteps), Unit: ""},
		{Name: "published shares", Value: float64(s.shareChanges) / s.span.Seconds(), Unit: "1/s"},
	}
}
