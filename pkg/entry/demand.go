package entry

import (
	"math"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
)

// demandSpan is the time over which the arriving load is averaged: long
// against the pauses between requests, short against a shift of the mix.
const demandSpan = 4 * time.Second

// demand measures the engine time that arriving requests need, by model.
type demand struct {
	mu   sync.Mutex
	sum  map[string]float64 // decayed seconds of a group's time
	last time.Duration
	any  bool
}

func newDemand() *demand { return &demand{sum: map[string]float64{}} }

// fullBatch is the part of the slots among which a step's time is divided when a
// request's cost is estimated: what a group can do, not how it runs when calm.
const fullBatch = 0.8

// readWeight is how much more a second of reading counts than one of writing:
// all other streams of the head pause meanwhile.
const readWeight = 2

// cost estimates the time of a group that a request needs, in seconds: the
// prompt is read alone, the answer written together with those of a full batch.
func cost(e *catalog.Engine, m catalog.Model, prompt, answer int) float64 {
	batch := max(fullBatch*float64(e.Slots), 1)
	step := (e.StepTime.Seconds() + batch*e.StepPerRequest.Seconds()) / batch
	read := 0.0
	if e.PrefillTokensPerS > 0 {
		read = float64(prompt) / e.PrefillTokensPerS
	}
	return (readWeight*read + float64(answer)*step) * m.Pace
}

// arrived counts a request.
func (d *demand) arrived(now time.Duration, model string, seconds float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	d.sum[model] += seconds
	d.any = true
}

func (d *demand) decay(now time.Duration) {
	f := math.Exp(-float64(now-d.last) / float64(demandSpan))
	d.last = now
	for m := range d.sum {
		d.sum[m] *= f
	}
}

// rates returns the engine time needed in a second, by model, and whether any
// request has come.
func (d *demand) rates(now time.Duration) (map[string]float64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	rates := map[string]float64{}
	for m, s := range d.sum {
		rates[m] = math.Round(s/demandSpan.Seconds()*1000) / 1000
	}
	return rates, d.any
}
