package proxy

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics counts what the proxy does.
type metrics struct {
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec
	handed   prometheus.Counter
	first    prometheus.Histogram
	whole    prometheus.Histogram
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sesame_requests_total", Help: "Model requests by end."}, []string{"end"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sesame_refusals_total", Help: "Refused model requests."}, []string{"reason", "outcome"}),
		retries:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sesame_failed_attempts_total", Help: "Failed attempts by the verdict on a retry."}, []string{"verdict"}),
		handed:   prometheus.NewCounter(prometheus.CounterOpts{Name: "sesame_handovers_total", Help: "Requests handed over to a peer gate."}),
		first:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "sesame_first_token_seconds", Help: "Time to the first token.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 14)}),
		whole:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "sesame_request_seconds", Help: "Time to the whole answer.", Buckets: prometheus.ExponentialBuckets(0.01, 2, 14)}),
	}
	if r != nil {
		r.MustRegister(m.requests, m.refusals, m.retries, m.handed, m.first, m.whole)
	}
	return m
}

func (m *metrics) ended(end string, d time.Duration) {
	m.requests.WithLabelValues(end).Inc()
	m.whole.Observe(d.Seconds())
}

func (m *metrics) refused(reason, outcome string) {
	m.requests.WithLabelValues("refused").Inc()
	m.refusals.WithLabelValues(reason, outcome).Inc()
}

func (m *metrics) retried(verdict string) { m.retries.WithLabelValues(verdict).Inc() }

func (m *metrics) handedOver() { m.handed.Inc() }

func (m *metrics) firstToken(d time.Duration) { m.first.Observe(d.Seconds()) }
