package bench

import "context"

// Figure is one measured value.
type Figure struct {
	Name  string // such as "group downtime"
	Value float64
	Unit  string // such as "s", "ns/op", "1/s"
}

// Variant is one way of doing the measured thing.
type Variant struct {
	Name     string
	Baseline bool // ratios are taken against this variant
	Figures  []Figure
}

// Measure runs all its variants in one run with fixed seeds.
type Measure struct {
	Area string
	Name string
	Run  func(ctx context.Context) ([]Variant, error)
}
