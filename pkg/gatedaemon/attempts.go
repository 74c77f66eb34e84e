package gatedaemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// domainLabel is the failure domain of the upstream that an attempt was sent to.
const domainLabel = "upstream_domain"

// unknownDomain stands for upstreams that have left the view.
const unknownDomain = "unknown"

// attempts counts attempts on upstreams by the upstream's failure domain.
type attempts struct {
	view   func() *view.View
	sent   *prometheus.CounterVec
	broken *prometheus.CounterVec
}

func newAttempts(r prometheus.Registerer, v func() *view.View) *attempts {
	a := &attempts{
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

func (a *attempts) began(h view.HostName) { a.sent.WithLabelValues(a.domain(h)).Inc() }

func (a *attempts) broke(h view.HostName) { a.broken.WithLabelValues(a.domain(h)).Inc() }

func (a *attempts) domain(name view.HostName) string {
	h, ok := a.view().Hosts.Get(name)
	if !ok || h.FailureDomain == "" {
		return unknownDomain
	}
	return h.FailureDomain
}
