package engine

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
)

// loadTick is the time between two looks at a load's progress.
const loadTick = 20 * time.Millisecond

// loadLoop fetches weights at the store's rate while that is allowed.
func (e *Engine) loadLoop(ctx context.Context) error {
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.changed:
		case <-time.After(loadTick):
		}
		e.faults.waitPause(ctx)
		now := time.Now()
		e.fetch(now.Sub(last))
		last = now
	}
}

func (e *Engine) fetch(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &e.role
	if r.phase != report.PhaseLoading {
		return
	}
	if r.left > 0 && !r.allowed {
		return
	}
	if e.options.LoadRate > 0 {
		r.left -= int64(d.Seconds() * float64(e.options.LoadRate))
	} else {
		r.left = 0
	}
	if r.left > 0 {
		return
	}
	if e.loaded != r.version {
		e.model.Restart(e.now())
	}
	e.loaded = r.version
	r.phase = report.PhaseReady
	e.log.Info("member is ready", "group", r.group, "epoch", r.epoch, "version", r.version, "rank", r.rank)
}
