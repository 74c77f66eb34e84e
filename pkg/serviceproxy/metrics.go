package serviceproxy

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// metrics holds the Prometheus metrics of the proxy.
type metrics struct {
	calls              *prometheus.CounterVec
	replayed           *prometheus.CounterVec
	outcomeQueries     *prometheus.CounterVec
	failures           *prometheus.CounterVec
	pendingConclusions prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sesame_service_calls_total",
			Help: "Calls of plain services by how they ended.",
		}, []string{"service", "once", "outcome"}),
		replayed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sesame_once_replayed_total",
			Help: "Once-only calls that were answered from the record.",
		}, []string{"service"}),
		outcomeQueries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sesame_once_asked_total",
			Help: "Unknown outcomes that a service was asked for, by what it told.",
		}, []string{"service", "outcome"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sesame_once_record_failures_total",
			Help: "Failed calls to the replicated records.",
		}, []string{"step"}),
		pendingConclusions: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sesame_once_pending_conclusions",
			Help: "Outcomes that are not recorded yet and are tried again.",
		}),
	}
	if r != nil {
		r.MustRegister(m.calls, m.replayed, m.outcomeQueries, m.failures, m.pendingConclusions)
	}
	return m
}

// end counts a call that ended. The service label comes from the service object, never
// from the request, so that callers can't create labels.
func (m *metrics) end(c *call, o outcome.Outcome) {
	once := "no"
	if c.isOnceOnly() {
		once = "yes"
	}
	m.calls.WithLabelValues(c.service.Name, once, string(o)).Inc()
}
