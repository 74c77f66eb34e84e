package entry

import (
	"math"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
)

// demandWindow is the time constant over which arriving load is averaged: long compared to the gaps
// between requests, short compared to a change of the request mix.
const demandWindow = 4 * time.Second

// demand measures the engine time required by arriving requests, by model.
type demand struct {
	mu         sync.Mutex
	sum        map[string]float64 // exponentially decayed seconds of group time
	decayedAt  time.Duration
	hasTraffic bool
}

func newDemand() *demand { return &demand{sum: map[string]float64{}} }

// busyBatchShare is the share of the slots assumed busy when the cost of a request is estimated: it
// reflects the capacity of a group rather than its speed when idle.
const busyBatchShare = 0.8

// prefillWeight is the weight of prompt processing time relative to generation time: all other
// streams of the head pause meanwhile.
const prefillWeight = 2

// engineSeconds estimates the group time that a request requires, in seconds. Prompts are processed
// one at a time; tokens are generated together with those of a busy batch.
func engineSeconds(e *catalog.Engine, m catalog.Model, prompt, answer int) float64 {
	batch := max(busyBatchShare*float64(e.Slots), 1)
	step := (e.StepTime.Seconds() + batch*e.StepPerRequest.Seconds()) / batch
	read := 0.0
	if e.PrefillTokensPerS > 0 {
		read = float64(prompt) / e.PrefillTokensPerS
	}
	return (prefillWeight*read + float64(answer)*step) * m.Pace
}

// addRequest adds the engine time of an arriving request.
func (d *demand) addRequest(now time.Duration, model string, seconds float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	d.sum[model] += seconds
	d.hasTraffic = true
}

func (d *demand) decay(now time.Duration) {
	f := math.Exp(-float64(now-d.decayedAt) / float64(demandWindow))
	d.decayedAt = now
	for m := range d.sum {
		d.sum[m] *= f
	}
}

// rates returns the required engine time per second by model, and whether any request has arrived.
func (d *demand) rates(now time.Duration) (map[string]float64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	rates := map[string]float64{}
	for m, s := range d.sum {
		rates[m] = math.Round(s/demandWindow.Seconds()*1000) / 1000
	}
	return rates, d.hasTraffic
}
