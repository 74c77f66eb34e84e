package bench

import "context"

// Figure is one measured value.
type Figure struct {
	Name  string // such as "group downtime"
	Value float64
	Unit  string // such as "s", "ns/op", "1/s"
}

// Variant is one of the alternatives that a measure compares.
type Variant struct {
	Name     string
	Baseline bool // ratios of the other variants refer to this one
	Figures  []Figure
}

// Measure is a comparison whose variants all run in one call of Run, with fixed seeds.
type Measure struct {
	Area string
	Name string
	Run  func(ctx context.Context) ([]Variant, error)
}
