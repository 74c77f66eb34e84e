package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// Series of latencies.
const (
	seriesFirst  = "time to first token"
	seriesGap    = "between tokens"
	seriesTotal  = "total"
	seriesOnce   = "once-only call"
	allTogether  = "" // organisation of figures over all
	histogramLow = int64(time.Microsecond)
	histogramTop = int64(10 * time.Minute)
	histogramDig = 3 // significant digits
)

// seriesKey names one histogram.
type seriesKey struct {
	series       string
	organisation string
}

// endKey names one way in which requests ended.
type endKey struct {
	Kind    kind
	Outcome outcome.Outcome
	Reason  outcome.Reason
	Done    bool
}

// second counts what was due in one second of the run.
type second struct {
	sent, done, refused, failed int
	first                       *hdrhistogram.Histogram
}

// figures collects what is measured. It is safe for concurrent use.
type figures struct {
	mu        sync.Mutex
	latencies map[seriesKey]*hdrhistogram.Histogram
	ends      map[endKey]int
	seconds   []*second
	notSent   int
	resent    int
	tokens    int
}

func newFigures() *figures {
	return &figures{
		latencies: make(map[seriesKey]*hdrhistogram.Histogram),
		ends:      make(map[endKey]int),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLow, histogramTop, histogramDig)
}

// latency records one value, for its organisation and over all. Values beyond
// the top of the histogram count as the top.
func (f *figures) latency(series, organisation string, d time.Duration) {
	for _, k := range []seriesKey{{series, organisation}, {series, allTogether}} {
		h := f.latencies[k]
		if h == nil {
			h = newHistogram()
			f.latencies[k] = h
		}
		_ = h.RecordValue(min(max(int64(d), histogramLow), histogramTop))
	}
}

// end records how a request ended.
func (f *figures) end(x arrival, due time.Time, a answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.at(x.due)
	s.sent++
	f.ends[endKey{Kind: x.kind, Outcome: a.outcome, Reason: a.reason, Done: a.done()}]++
	switch {
	case a.done():
		s.done++
	case a.outcome == outcome.NotRun:
		s.refused++
		return
	default:
		s.failed++
		return
	}
	f.tokens += a.tokens
	name := x.organisation.Name
	if x.kind == kindOnce {
		f.latency(seriesOnce, name, a.ended.Sub(due))
		return
	}
	f.latency(seriesTotal, name, a.ended.Sub(due))
	if a.first.IsZero() {
		return
	}
	f.latency(seriesFirst, name, a.first.Sub(due))
	_ = s.first.RecordValue(min(int64(a.first.Sub(due)), histogramTop))
	for _, gap := range a.gaps {
		f.latency(seriesGap, name, gap)
	}
}

// at returns the second of a moment since the start.
func (f *figures) at(d time.Duration) *second {
	n := int(d / time.Second)
	for len(f.seconds) <= n {
		f.seconds = append(f.seconds, &second{first: newHistogram()})
	}
	return f.seconds[n]
}

func (f *figures) countNotSent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notSent++
}

func (f *figures) countResent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resent++
}
