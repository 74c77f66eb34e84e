package engine

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
)

// loadInterval is the interval at which the progress of a load is updated.
const loadInterval = 20 * time.Millisecond

// loadLoop simulates loading weights at the rate of the weight store, while loading
// is allowed.
func (e *Engine) loadLoop(ctx context.Context) error {
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.roleChanged:
		case <-time.After(loadInterval):
		}
		e.faults.waitPause(ctx)
		now := time.Now()
		e.advanceLoad(now.Sub(last))
		last = now
	}
}

func (e *Engine) advanceLoad(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &e.role
	if r.phase != report.PhaseLoading {
		return
	}
	if r.bytesLeft > 0 && !r.loadAllowed {
		return
	}
	if e.options.LoadRate > 0 {
		r.bytesLeft -= int64(d.Seconds() * float64(e.options.LoadRate))
	} else {
		r.bytesLeft = 0
	}
	if r.bytesLeft > 0 {
		return
	}
	if e.loaded != r.version {
		e.model.Restart(e.now())
	}
	e.loaded = r.version
	r.phase = report.PhaseReady
	e.log.Info("member is ready", "group", r.group, "epoch", r.epoch, "version", r.version, "rank", r.rank)
}
