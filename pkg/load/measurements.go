package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// Latency series and histogram parameters.
const (
	seriesFirstToken = "time to first token"
	seriesTokenGap   = "between tokens"
	seriesTotal      = "total"
	seriesOnce       = "once-only call"
	allOrganisations = "" // key of the series over all organisations
	histogramMin     = int64(time.Microsecond)
	histogramMax     = int64(10 * time.Minute)
	histogramDigits  = 3 // significant digits
)

// seriesKey identifies one latency histogram.
type seriesKey struct {
	series       string
	organisation string
}

// endKey identifies one way in which requests ended.
type endKey struct {
	Kind    kind
	Outcome outcome.Outcome
	Reason  outcome.Reason
	Done    bool
}

// second counts the requests that were due in one second of the run.
type second struct {
	sent, done, refused, failed int
	firstToken                  *hdrhistogram.Histogram
}

// measurements collects the latencies and counts of a run. It is safe for
// concurrent use.
type measurements struct {
	mu        sync.Mutex
	latencies map[seriesKey]*hdrhistogram.Histogram
	ends      map[endKey]int
	seconds   []*second
	notSent   int
	resent    int
	tokens    int
}

func newMeasurements() *measurements {
	return &measurements{
		latencies: make(map[seriesKey]*hdrhistogram.Histogram),
		ends:      make(map[endKey]int),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

// recordLatency records one value for its organisation and for all organisations
// together. Values outside the histogram's range count as its nearest limit.
func (f *measurements) recordLatency(series, organisation string, d time.Duration) {
	for _, k := range []seriesKey{{series, organisation}, {series, allOrganisations}} {
		h := f.latencies[k]
		if h == nil {
			h = newHistogram()
			f.latencies[k] = h
		}
		_ = h.RecordValue(min(max(int64(d), histogramMin), histogramMax))
	}
}

// recordEnd records how a request ended.
func (f *measurements) recordEnd(x arrival, due time.Time, a answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.secondAt(x.due)
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
		f.recordLatency(seriesOnce, name, a.ended.Sub(due))
		return
	}
	f.recordLatency(seriesTotal, name, a.ended.Sub(due))
	if a.firstToken.IsZero() {
		return
	}
	f.recordLatency(seriesFirstToken, name, a.firstToken.Sub(due))
	_ = s.firstToken.RecordValue(min(int64(a.firstToken.Sub(due)), histogramMax))
	for _, gap := range a.gaps {
		f.recordLatency(seriesTokenGap, name, gap)
	}
}

// secondAt returns the counts of the second that holds an offset from the start.
func (f *measurements) secondAt(d time.Duration) *second {
	n := int(d / time.Second)
	for len(f.seconds) <= n {
		f.seconds = append(f.seconds, &second{firstToken: newHistogram()})
	}
	return f.seconds[n]
}

func (f *measurements) countNotSent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notSent++
}

func (f *measurements) countResent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resent++
}
