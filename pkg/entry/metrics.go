package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the Prometheus metrics of an entry host.
type Metrics struct {
	Registry           *prometheus.Registry
	Requests           *prometheus.CounterVec
	Duration           *prometheus.HistogramVec
	FirstEvent         *prometheus.HistogramVec
	StreamPause        prometheus.Histogram
	Retries            *prometheus.CounterVec
	BrokenAttempts     *prometheus.CounterVec
	Quarantined        *prometheus.CounterVec
	Placements         *prometheus.CounterVec
	Syncs              *prometheus.CounterVec
	Standbys           *prometheus.CounterVec
	Relays             *prometheus.CounterVec
	CutOff             prometheus.Gauge
	SuspectedHeads     prometheus.Counter
	WithheldSuspicions prometheus.Counter
	LimitedRefusals    prometheus.Counter
	Pauses             prometheus.Counter
	PauseRefusals      prometheus.Counter
	Limited            prometheus.Gauge
	SuppressedLines    prometheus.Counter
	DocumentVersion    prometheus.Gauge
}

// secondsBuckets range from 5 ms to about 10 s.
var secondsBuckets = prometheus.ExponentialBuckets(0.005, 1.8, 14)

// NewMetrics returns metrics in a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sesame_entry_requests_total", Help: "Clients' requests by route and outcome."}, []string{"route", "outcome"}),
		Duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sesame_entry_request_seconds", Help: "Time of a request until its answer ended.", Buckets: secondsBuckets}, []string{"kind"}),
		FirstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sesame_entry_first_event_seconds", Help: "Time until the first event of a stream.", Buckets: secondsBuckets}, []string{"model"}),
		StreamPause: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sesame_entry_pause_seconds", Help: "Longest pause between events of a stream.", Buckets: secondsBuckets}),
		Retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sesame_entry_repeats_total", Help: "Requests sent to a further upstream by cause."}, []string{"cause"}),
		BrokenAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sesame_entry_broken_attempts_total", Help: "Requests that an upstream broke off, or behind which it ended or fell silent, by whether its process had ended."}, []string{"upstream"}),
		Quarantined: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sesame_entry_quarantine_decisions_total", Help: "Decisions about requests that may end upstreams, by outcome."}, []string{"outcome"}),
		Placements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sesame_entry_placements_total", Help: "Questions to the entry host that places a model's requests, by outcome."}, []string{"outcome"}),
		Syncs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sesame_entry_syncs_total", Help: "Questions to the coordinators by outcome."}, []string{"outcome"}),
		Standbys: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sesame_entry_standbys_total", Help: "Attempts at another upstream beside a silent one, by outcome."}, []string{"outcome"}),
		Relays: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sesame_entry_relays_total", Help: "Requests passed on to another entry host (sent) or by one (taken), by outcome."}, []string{"direction", "outcome"}),
		CutOff: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sesame_entry_cut_off", Help: "1 while this entry host can reach no upstream, else 0."}),
		SuspectedHeads: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sesame_entry_suspected_heads_total", Help: "Heads of groups that went silent."}),
		WithheldSuspicions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sesame_entry_withheld_suspicions_total", Help: "Silent heads that the coordinators were not told of, since no upstream could be reached."}),
		Pauses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sesame_entry_pauses_total", Help: "Pauses that upstreams asked this entry host for."}),
		PauseRefusals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sesame_entry_pause_refusals_total", Help: "Requests refused because all upstreams have asked for a pause."}),
		LimitedRefusals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sesame_entry_limit_refusals_total", Help: "Requests refused because all upstreams with room name a limit, which is reached."}),
		Limited: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sesame_entry_limited_upstreams", Help: "Upstreams that name a limit of requests a second."}),
		SuppressedLines: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sesame_entry_lines_suppressed_total", Help: "Log lines about requests beyond the bound."}),
		DocumentVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sesame_entry_document_version", Help: "Version of the document in force here."}),
	}
	m.Registry.MustRegister(m.Requests, m.Duration, m.FirstEvent, m.StreamPause, m.Retries, m.BrokenAttempts, m.Quarantined, m.Placements, m.Syncs, m.Standbys, m.Relays, m.CutOff, m.SuspectedHeads, m.WithheldSuspicions, m.LimitedRefusals, m.Pauses, m.PauseRefusals, m.Limited, m.SuppressedLines, m.DocumentVersion)
	return m
}

func (m *Metrics) recordSync(err error) {
	if err != nil {
		m.Syncs.WithLabelValues("failed").Inc()
		return
	}
	m.Syncs.WithLabelValues("answered").Inc()
}

func (m *Metrics) recordRequest(c *call, took time.Duration) {
	m.Requests.WithLabelValues(c.routeName(), string(c.outcome)).Inc()
	if c.route != nil {
		m.Duration.WithLabelValues(string(c.route.Kind)).Observe(took.Seconds())
	}
}
