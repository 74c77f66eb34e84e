package entry

import (
	"context"
	"sync/atomic"
	"time"
)

// silenceWatch ends an attempt whose other end sends nothing for too long while it is being read.
type silenceWatch struct {
	timer *time.Timer // nil if silence is no reason to end it
	limit time.Duration
	fired atomic.Bool
}

// newSilenceWatch returns a watch that is not running. A limit of 0 means that there is none.
func newSilenceWatch(limit time.Duration, cancel context.CancelFunc) *silenceWatch {
	w := &silenceWatch{limit: limit}
	if limit > 0 {
		w.timer = time.AfterFunc(limit, func() {
			w.fired.Store(true)
			cancel()
		})
		w.timer.Stop()
	}
	return w
}

// begin starts to wait for the other end.
func (w *silenceWatch) begin() {
	if w.timer != nil {
		w.timer.Reset(w.limit)
	}
}

// end stops to wait.
func (w *silenceWatch) end() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
