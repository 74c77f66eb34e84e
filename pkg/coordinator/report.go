package coordinator

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
)

const (
	// reportInterval is the time between the reports of a coordinator to the leader.
	reportInterval = 250 * time.Millisecond
	// maxReportRetry is the longest pause after a failed report.
	maxReportRetry = time.Second
	// reportBatchDelay batches confirmations in quick succession into one report.
	reportBatchDelay = 10 * time.Millisecond
)

// requestReport requests a report to the leader soon, of confirmations alone unless full is set. The
// caller holds the lock.
func (c *Coordinator) requestReport(full bool) {
	f := c.following
	if f == nil {
		return
	}
	f.fullReport = f.fullReport || full
	select {
	case c.reportRequested <- struct{}{}:
	default:
	}
}

// reportLoop reports to the leader what the entry hosts and upstreams served here have told.
func (c *Coordinator) reportLoop(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	retry := reportInterval
	for {
		full := true
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-c.reportRequested:
			clock.Sleep(ctx, reportBatchDelay)
			full = false
		}
		if c.report(ctx, full) {
			retry = reportInterval
			continue
		}
		clock.Sleep(ctx, retry)
		retry = min(2*retry, maxReportRetry)
	}
}

// report sends one report if there is anything to tell. It reports whether it did not fail.
func (c *Coordinator) report(ctx context.Context, full bool) bool {
	c.mu.Lock()
	f := c.following
	if f == nil || c.leadership != nil {
		c.mu.Unlock()
		return true
	}
	now := c.now()
	full = full || f.fullReport
	report := f.report(now, full)
	report.Coordinator = c.cfg.PeerAddress
	f.fullReport = false
	c.mu.Unlock()
	if len(report.Syncs)+len(report.Confirmed)+len(report.Announced) == 0 {
		return true
	}
	calling, cancel := c.withLeader(ctx, leaderTimeout)
	defer cancel()
	var none struct{}
	err := c.callLeader(calling, control.MethodFleetReport, report, &none)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		f.reported(now, full, report)
		return true
	}
	f.fullReport = true
	c.cfg.Logger.Warn("report to the leader failed; sending it again", "syncs", len(report.Syncs), "confirmed", len(report.Confirmed), "announced", len(report.Announced), "cause", err)
	return false
}

// report collects what the leader does not know yet.
func (f *following) report(now time.Duration, full bool) control.FleetReport {
	var report control.FleetReport
	for name, p := range f.processes {
		if now-p.receivedAt > processTimeout {
			delete(f.processes, name)
			continue
		}
		if full && p.receivedAt > f.reportedAt {
			report.Syncs = append(report.Syncs, control.FleetHeldSync{HeldMS: (now - p.receivedAt).Milliseconds(), FleetSyncRequest: p.request})
		}
		if p.unreported {
			report.Confirmed = append(report.Confirmed, p.confirmed)
		}
	}
	if full && len(report.Syncs) > 0 {
		total := f.totalUsage(now)
		report.Usage = &total
	}
	for id, a := range f.announced {
		switch {
		case now-a.at > processTimeout:
			delete(f.announced, id)
		case full && !a.reported:
			report.Announced = append(report.Announced, control.FleetAnnounced{ID: id, StartedMS: a.startedMS, Sequence: a.sequence, HeldMS: (now - a.at).Milliseconds()})
		}
	}
	return report
}

// reported records that the leader has a report that was made at a time.
func (f *following) reported(at time.Duration, full bool, report control.FleetReport) {
	if full {
		f.reportedAt = at
	}
	for _, told := range report.Confirmed {
		if p := f.processes[told.Process]; p != nil && p.confirmed == told {
			p.unreported = false
		}
	}
	for _, told := range report.Announced {
		if a := f.announced[told.ID]; a.startedMS == told.StartedMS && a.sequence == told.Sequence {
			a.reported = true
			f.announced[told.ID] = a
		}
	}
}

// handleReport takes over the report of a coordinator that follows this leader.
func (c *Coordinator) handleReport(_ context.Context, report control.FleetReport) (struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.leading()
	if l == nil {
		return struct{}{}, notLeader(c.leaderAddress())
	}
	now := c.now()
	confirms, limits := false, false
	for _, s := range report.Syncs {
		p, isNew := l.process(s.Process)
		if isNew {
			c.cfg.Logger.Info("process started to sync with a coordinator that follows", "process_name", s.Process, "entry", s.EntryHost, "zone", s.Zone, "coordinator", report.Coordinator)
		}
		p.server = report.Coordinator
		confirms = p.record(now-time.Duration(s.HeldMS)*time.Millisecond, s.FleetSyncRequest) || confirms
		limits = l.limits.record(now-time.Duration(s.HeldMS)*time.Millisecond, s.Limits) || limits
	}
	if report.Usage != nil {
		p, isNew := l.process(report.Coordinator)
		if isNew { // its own call is on the way
			p.receivedAt = now
		}
		p.usage = usage{*report.Usage, now}
	}
	for _, told := range report.Confirmed {
		if p := l.processes[told.Process]; p != nil {
			confirms = p.confirm(told) || confirms
		}
	}
	for _, a := range report.Announced {
		if c.registry.Heard(now-time.Duration(a.HeldMS)*time.Millisecond, a.ID, a.StartedMS, a.Sequence) {
			c.updatePlanner(a.ID)
		}
	}
	if confirms {
		l.confirmations.broadcast()
	}
	if limits {
		l.notifyChange()
	}
	return struct{}{}, nil
}
