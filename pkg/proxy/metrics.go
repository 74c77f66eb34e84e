package proxy

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the Prometheus metrics of the proxy.
type metrics struct {
	requests       *prometheus.CounterVec
	refusals       *prometheus.CounterVec
	retries        *prometheus.CounterVec
	handovers      prometheus.Counter
	firstTokenTime prometheus.Histogram
	requestTime    prometheus.Histogram
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		requests:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sesame_requests_total", Help: "Model requests by end."}, []string{"end"}),
		refusals:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sesame_refusals_total", Help: "Refused model requests."}, []string{"reason", "outcome"}),
		retries:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sesame_failed_attempts_total", Help: "Failed attempts by the verdict on a retry."}, []string{"verdict"}),
		handovers:      prometheus.NewCounter(prometheus.CounterOpts{Name: "sesame_handovers_total", Help: "Requests handed over to a peer gate."}),
		firstTokenTime: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "sesame_first_token_seconds", Help: "Time to the first token.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 14)}),
		requestTime:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "sesame_request_seconds", Help: "Time to the whole answer.", Buckets: prometheus.ExponentialBuckets(0.01, 2, 14)}),
	}
	if r != nil {
		r.MustRegister(m.requests, m.refusals, m.retries, m.handovers, m.firstTokenTime, m.requestTime)
	}
	return m
}

func (m *metrics) ended(end string, d time.Duration) {
	m.requests.WithLabelValues(end).Inc()
	m.requestTime.Observe(d.Seconds())
}

func (m *metrics) refused(reason, outcome string) {
	m.requests.WithLabelValues("refused").Inc()
	m.refusals.WithLabelValues(reason, outcome).Inc()
}

func (m *metrics) retried(verdict string) { m.retries.WithLabelValues(verdict).Inc() }

func (m *metrics) handedOver() { m.handovers.Inc() }

func (m *metrics) firstToken(d time.Duration) { m.firstTokenTime.Observe(d.Seconds()) }
