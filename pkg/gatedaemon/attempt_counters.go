package gatedaemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// domainLabel is the metric label with the failure domain of an attempt's upstream.
const domainLabel = "upstream_domain"

// unknownDomain is the label value of upstreams that have left the view.
const unknownDomain = "unknown"

// attemptCounters counts attempts by the failure domain of their upstream.
type attemptCounters struct {
	view   func() *view.View
	sent   *prometheus.CounterVec
	broken *prometheus.CounterVec
}

func newAttemptCounters(r prometheus.Registerer, v func() *view.View) *attemptCounters {
	a := &attemptCounters{
		view: v,
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sesame_upstream_attempts_total",
			Help: "Attempts sent to upstreams, by the upstream's failure domain.",
		}, []string{domainLabel}),
		broken: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sesame_upstream_attempts_broken_total",
			Help: "Attempts that an upstream ended without a whole answer, by its failure domain.",
		}, []string{domainLabel}),
	}
	r.MustRegister(a.sent, a.broken)
	return a
}

func (a *attemptCounters) countSent(h view.HostName) { a.sent.WithLabelValues(a.domain(h)).Inc() }

func (a *attemptCounters) countBroken(h view.HostName) { a.broken.WithLabelValues(a.domain(h)).Inc() }

func (a *attemptCounters) domain(name view.HostName) string {
	h, ok := a.view().Hosts.Get(name)
	if !ok || h.FailureDomain == "" {
		return unknownDomain
	}
	return h.FailureDomain
}
