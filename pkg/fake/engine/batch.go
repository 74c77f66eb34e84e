package engine

import (
	"context"
	"time"
)

// batchLoop runs the model's steps in real time.
func (e *Engine) batchLoop(ctx context.Context) error {
	for {
		d, ok := e.beginStep()
		if !ok {
			select {
			case <-ctx.Done():
				return nil
			case <-e.wake:
			}
			continue
		}
		if !sleep(ctx, time.Duration(float64(d)*e.faults.slowness())) {
			return nil
		}
		e.faults.waitPause(ctx)
		e.endStep()
	}
}

func (e *Engine) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.model.Idle() || e.stalledBy != "" {
		return 0, false
	}
	return e.model.BeginStep(e.now()), true
}

func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.model.EndStep() {
		if st := e.streams[s]; st != nil {
			st.tokens <- s.Next - 1
		}
		if s.Done() {
			delete(e.streams, s)
		}
	}
}

// cutAll ends all requests. e.mu is held.
func (e *Engine) cutAll(err error) {
	for s, st := range e.streams {
		e.model.Remove(s)
		delete(e.streams, s)
		st.cut(err)
	}
}
