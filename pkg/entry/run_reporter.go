package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/quarantine"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	// reportBatchDelay batches reports: all requests of an upstream that ends fail at once.
	reportBatchDelay = 5 * time.Millisecond
	// reportRetryDelay is the delay after a failed report. It doubles up to maxReportRetryDelay: all
	// entry hosts report again while there is no leader.
	reportRetryDelay    = 50 * time.Millisecond
	maxReportRetryDelay = 400 * time.Millisecond
	// maxPendingReports bounds the reports that wait. Beyond it crashes are reported again from the
	// guard's memory, and other reports are dropped: the trial they end then ends by itself.
	maxPendingReports = 4096
)

// runReporter tells the leading coordinator how runs ended that matter to the quarantine, until it
// has acknowledged them.
type runReporter struct {
	mu       sync.Mutex
	pending  control.FleetRunsRequest
	overflow bool
	wake     chan struct{}
}

func newRunReporter(process string) *runReporter {
	return &runReporter{pending: control.FleetRunsRequest{Process: process}, wake: make(chan struct{}, 1)}
}

func (r *runReporter) crashed(run control.FleetCrashedRun) {
	r.add(func(p *control.FleetRunsRequest) { p.Crashed = append(p.Crashed, run) })
}

func (r *runReporter) cleared(f view.Fingerprint) {
	r.add(func(p *control.FleetRunsRequest) { p.Cleared = append(p.Cleared, f) })
}

func (r *runReporter) trialEnded(t control.FleetTrial) {
	r.add(func(p *control.FleetRunsRequest) { p.Ended = append(p.Ended, t) })
}

// resend reports all crashes again that still count.
func (r *runReporter) resend(all map[view.Fingerprint][]quarantine.Crash) {
	for f, crashes := range all {
		for _, c := range crashes {
			r.crashed(control.FleetCrashedRun{Fingerprint: f, Crash: c})
		}
	}
}

func (r *runReporter) add(appendTo func(*control.FleetRunsRequest)) {
	r.mu.Lock()
	if len(r.pending.Crashed)+len(r.pending.Cleared)+len(r.pending.Ended) < maxPendingReports {
		appendTo(&r.pending)
	} else {
		r.overflow = true
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// take returns the pending reports, and whether some were dropped since the last call.
func (r *runReporter) take() (control.FleetRunsRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch, overflow := r.pending, r.overflow
	r.pending = control.FleetRunsRequest{Process: batch.Process}
	r.overflow = false
	return batch, overflow
}

// run sends reports until ctx ends.
func (r *runReporter) run(ctx context.Context, g *Gateway) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		clock.Sleep(ctx, reportBatchDelay)
		batch, overflow := r.take()
		g.deliverReports(ctx, batch)
		if overflow {
			r.resend(g.guard.OwnCrashes(g.now()))
		}
	}
}

// deliverReports sends a batch until the leader has acknowledged it.
func (g *Gateway) deliverReports(ctx context.Context, batch control.FleetRunsRequest) {
	for delay := reportRetryDelay; ; delay = min(2*delay, maxReportRetryDelay) {
		err := g.sendReports(ctx, batch)
		if err == nil || ctx.Err() != nil {
			return
		}
		if delay == reportRetryDelay {
			g.cfg.Logger.Warn("reports about ended upstreams are not acknowledged; sending them again", "crashed", len(batch.Crashed),
				"cleared", len(batch.Cleared), "trials", len(batch.Ended), "cause", err)
		}
		clock.Sleep(ctx, delay)
	}
}

func (g *Gateway) sendReports(ctx context.Context, batch control.FleetRunsRequest) error {
	calling, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var none struct{}
	return g.suspects.CallOnce(calling, control.MethodFleetRuns, batch, &none)
}
