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
	// patientDelay, for each entry host, is how long reports wait that say only that something is
	// sound, up to maxPatientDelay: many entry hosts have them at the same time.
	patientDelay    = 5 * time.Millisecond
	maxPatientDelay = 400 * time.Millisecond
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
	pending  pendingReports
	overflow bool
	wake     chan struct{}
}

func newRunReporter() *runReporter {
	return &runReporter{wake: make(chan struct{}, 1)}
}

func (r *runReporter) crashed(run crashReport) {
	r.add(func(p *pendingReports) { p.crashed = append(p.crashed, run) })
}

func (r *runReporter) cleared(f view.Fingerprint, p quarantine.Proof, trial string) {
	r.add(func(pending *pendingReports) {
		pending.cleared = append(pending.cleared, clearReport{fingerprint: f, proof: p, trial: trial})
	})
}

// completed reports a run of a request that is not under suspicion here.
func (r *runReporter) completed(f view.Fingerprint, p quarantine.Proof) {
	r.add(func(pending *pendingReports) {
		pending.cleared = append(pending.cleared, clearReport{fingerprint: f, proof: p, patient: true})
	})
}

func (r *runReporter) progressed(f view.Fingerprint, began time.Duration) {
	r.add(func(p *pendingReports) { p.progressed = append(p.progressed, progressReport{f, began}) })
}

func (r *runReporter) trialEnded(t control.FleetTrial) {
	r.add(func(p *pendingReports) { p.ended = append(p.ended, t) })
}

// resend reports all crashes again that still count.
func (r *runReporter) resend(g *quarantine.Guard, now time.Duration) {
	for f, crashes := range g.OwnCrashes(now) {
		for _, c := range crashes {
			r.crashed(crashReport{fingerprint: f, crash: c, completed: map[view.Fingerprint]quarantine.Proof{f: g.ProofOf(f)}})
		}
	}
}

func (r *runReporter) add(appendTo func(*pendingReports)) {
	r.mu.Lock()
	if r.pending.count() < maxPendingReports {
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
func (r *runReporter) take() (pendingReports, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch, overflow := r.pending, r.overflow
	r.pending, r.overflow = pendingReports{}, false
	return batch, overflow
}

// awaitUrgent waits for a report that must not wait, at most for the given time.
func (r *runReporter) awaitUrgent(ctx context.Context, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	for !r.isUrgent() {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-r.wake:
		}
	}
}

func (r *runReporter) isUrgent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pending.urgent()
}

// run sends reports until ctx ends.
func (r *runReporter) run(ctx context.Context, g *Gateway) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		r.awaitUrgent(ctx, min(time.Duration(g.balancer.entryCount())*patientDelay, maxPatientDelay))
		clock.Sleep(ctx, reportBatchDelay)
		batch, overflow := r.take()
		g.deliverReports(ctx, batch)
		if overflow {
			r.resend(g.guard, g.now())
		}
	}
}

// deliverReports sends a batch until the leader has acknowledged it.
func (g *Gateway) deliverReports(ctx context.Context, batch pendingReports) {
	for delay := reportRetryDelay; ; delay = min(2*delay, maxReportRetryDelay) {
		err := g.sendReports(ctx, batch)
		if err == nil || ctx.Err() != nil {
			return
		}
		if delay == reportRetryDelay {
			g.cfg.Logger.Warn("reports about ended upstreams are not acknowledged; sending them again", "crashed", len(batch.crashed),
				"cleared", len(batch.cleared), "trials", len(batch.ended), "cause", err)
		}
		clock.Sleep(ctx, delay)
	}
}

func (g *Gateway) sendReports(ctx context.Context, batch pendingReports) error {
	calling, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var none struct{}
	return g.suspects.CallOnce(calling, control.MethodFleetRuns, batch.request(g.cfg.Name, g.now()), &none)
}
