package consensus

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/bench"
)

const area = "consensus"

// Sizes sets how much a run measures.
type Sizes struct {
	CommitTime        time.Duration // of each variant
	Clients           []int
	Elections         int // number of seeds
	RestartLogLengths []int
	Changes           int
}

// DefaultSizes returns the sizes of the published figures.
func DefaultSizes() Sizes {
	return Sizes{
		CommitTime:        3 * time.Second,
		Clients:           []int{1, 16, 128},
		Elections:         1000,
		RestartLogLengths: []int{1_000, 10_000, 100_000},
		Changes:           200_000,
	}
}

// Measures returns the measures of this area in their default sizes.
func Measures() []bench.Measure {
	return MeasuresWithSizes(DefaultSizes())
}

// MeasuresWithSizes returns the measures of this area in the given sizes.
func MeasuresWithSizes(s Sizes) []bench.Measure {
	return []bench.Measure{
		{Area: area, Name: "commits", Run: s.commits},
		{Area: area, Name: "fail-over", Run: s.failOver},
		{Area: area, Name: "restart", Run: s.restart},
		{Area: area, Name: "growth on disk", Run: s.growth},
	}
}
