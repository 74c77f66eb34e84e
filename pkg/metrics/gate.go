package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sesamemux/sesamemux/pkg/view"
)

var (
	leaseHeld = prometheus.NewDesc("sesame_lease_held",
		"1 while this gate may take new work, else 0.", nil, nil)
	leaseRemaining = prometheus.NewDesc("sesame_lease_remaining_seconds",
		"What is left of this gate's lease; 0 without one.", nil, nil)
	viewInForce = prometheus.NewDesc("sesame_view_in_force",
		"Revision of the view that this gate follows.", nil, nil)
)

// Gate collects the lease and view metrics of one gate.
type Gate struct {
	Lease interface {
		Valid() bool
		Left() time.Duration
	}
	View func() *view.View
}

// Describe implements prometheus.Collector.
func (*Gate) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{leaseHeld, leaseRemaining, viewInForce} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (g *Gate) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v)
	}
	held := 0.0
	if g.Lease.Valid() {
		held = 1
	}
	gauge(leaseHeld, held)
	gauge(leaseRemaining, max(g.Lease.Left(), 0).Seconds())
	gauge(viewInForce, float64(g.View().Revision))
}
