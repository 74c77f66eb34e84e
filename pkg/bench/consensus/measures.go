package consensus

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/bench"
)

const area = "consensus"

// Sizes set how much a run measures.
type Sizes struct {
	CommitTime        time.Duration // of each variant
	Clients           []int
	Elections         int // seeds
	RestartLogLengths []int
	Changes           int
}

// DefaultSizes returns those of the figures in the design page.
func DefaultSizes() Sizes {
	return Sizes{
		CommitTime:        3 * time.Second,
		Clients:           []int{1, 16, 128},
		Elections:         1000,
		RestartLogLengths: []int{1_000, 10_000, 100_000},
		Changes:           200_000,
	}
}

// Measures returns all measures of the replicated log.
func Measures() []bench.Measure {
	return MeasuresWithSizes(DefaultSizes())
}

// MeasuresWithSizes returns them in a chosen size.
func MeasuresWithSizes(s Sizes) []bench.Measure {
	return []bench.Measure{
		{Area: area, Name: "commits", Run: s.commits},
		{Area: area, Name: "fail-over", Run: s.failOver},
		{Area: area, Name: "restart", Run: s.restart},
		{Area: area, Name: "growth on disk", Run: s.growth},
	}
}
