package load

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sesamemux/sesamemux/pkg/ledger"
	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// maxViolations bounds the violations that a report tells in full.
const maxViolations = 50

// Report is what a load measured, as JSON.
type Report struct {
	Started         time.Time   `json:"started"`
	TookSeconds     float64     `json:"took_seconds"`
	Seed            uint64      `json:"seed"`
	RatePerSecond   float64     `json:"rate_per_second"` // asked for
	Sent            int         `json:"sent"`
	NotSent         int         `json:"not_sent"` // over the bound of requests in flight
	Done            int         `json:"done"`
	Resent          int         `json:"resent"`
	TokensPerSecond float64     `json:"tokens_per_second"`
	Ends            []EndCount  `json:"ends"`
	Latencies       []Latency   `json:"latencies"`
	Seconds         []Second    `json:"seconds"`
	Violations      int         `json:"violations"`
	Details         []Violation `json:"details,omitempty"` // the first of the violations
}

// EndCount counts requests that ended in one way.
type EndCount struct {
	Kind    string          `json:"kind"`
	Outcome outcome.Outcome `json:"outcome"` // "" if no reply came
	Reason  outcome.Reason  `json:"reason,omitempty"`
	Done    bool            `json:"done"` // with a whole answer
	Count   int             `json:"count"`
}

// Latency holds the quantiles of one series, in milliseconds.
type Latency struct {
	Series       string  `json:"series"`
	Organisation string  `json:"organisation,omitempty"` // "" for all
	Count        int64   `json:"count"`
	P50          float64 `json:"p50_ms"`
	P90          float64 `json:"p90_ms"`
	P95          float64 `json:"p95_ms"`
	P99          float64 `json:"p99_ms"`
	Max          float64 `json:"max_ms"`
	// quantiles are points of the whole distribution, for the plot.
	quantiles []quantile
}

// quantile is one point of a distribution.
type quantile struct {
	share  float64 // in [0,1)
	millis float64
}

// Second counts the requests that were due in one second of the run.
type Second struct {
	Second        int     `json:"second"`
	Sent          int     `json:"sent"`
	Done          int     `json:"done"`
	Refused       int     `json:"refused"` // not run
	Failed        int     `json:"failed"`
	FirstTokenP95 float64 `json:"first_token_p95_ms"`
}

// Violation is one broken rule.
type Violation struct {
	Rule   ledger.Rule `json:"rule"`
	Key    string      `json:"key"`
	Detail string      `json:"detail"`
}

// Passed tells whether nothing was broken and something was done.
func (r *Report) Passed() bool { return r.Violations == 0 && r.Done > 0 }

func (r *Runner) report(started time.Time, took time.Duration) *Report {
	f := r.figures
	f.mu.Lock()
	defer f.mu.Unlock()
	rep := &Report{
		Started:         started,
		TookSeconds:     took.Seconds(),
		Seed:            r.options.Seed,
		RatePerSecond:   r.options.Rate,
		NotSent:         f.notSent,
		Resent:          f.resent,
		TokensPerSecond: float64(f.tokens) / took.Seconds(),
		Ends:            f.endCounts(),
		Latencies:       f.quantiles(),
		Seconds:         f.perSecond(),
		Violations:      len(r.violations),
	}
	for _, s := range rep.Seconds {
		rep.Sent += s.Sent
		rep.Done += s.Done
	}
	for _, v := range r.violations[:min(len(r.violations), maxViolations)] {
		rep.Details = append(rep.Details, Violation(v))
	}
	return rep
}

func (f *figures) endCounts() []EndCount {
	var list []EndCount
	for k, n := range f.ends {
		list = append(list, EndCount{Kind: string(k.Kind), Outcome: k.Outcome, Reason: k.Reason, Done: k.Done, Count: n})
	}
	slices.SortFunc(list, func(a, b EndCount) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	return list
}

func (f *figures) quantiles() []Latency {
	keys := slices.SortedFunc(maps.Keys(f.latencies), func(a, b seriesKey) int {
		return cmp.Or(cmp.Compare(a.series, b.series), cmp.Compare(a.organisation, b.organisation))
	})
	var list []Latency
	for _, k := range keys {
		list = append(list, latencyOf(k, f.latencies[k]))
	}
	return list
}

func latencyOf(k seriesKey, h *hdrhistogram.Histogram) Latency {
	l := Latency{
		Series:       k.series,
		Organisation: k.organisation,
		Count:        h.TotalCount(),
		P50:          millis(h.ValueAtQuantile(50)),
		P90:          millis(h.ValueAtQuantile(90)),
		P95:          millis(h.ValueAtQuantile(95)),
		P99:          millis(h.ValueAtQuantile(99)),
		Max:          millis(h.Max()),
	}
	for _, b := range h.CumulativeDistribution() {
		if b.Quantile < 100 {
			l.quantiles = append(l.quantiles, quantile{share: b.Quantile / 100, millis: millis(b.ValueAt)})
		}
	}
	return l
}

func millis(ns int64) float64 { return float64(ns) / float64(time.Millisecond) }

func (f *figures) perSecond() []Second {
	var list []Second
	for n, s := range f.seconds {
		list = append(list, Second{
			Second:        n,
			Sent:          s.sent,
			Done:          s.done,
			Refused:       s.refused,
			Failed:        s.failed,
			FirstTokenP95: millis(s.first.ValueAtQuantile(95)),
		})
	}
	return list
}
