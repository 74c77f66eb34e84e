package coordinator

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/durable"
	"github.com/sesamemux/sesamemux/pkg/quarantine"
)

// trialMargin is added to the time left of a request on trial until the trial counts as ended: the
// report of its end may be late.
const trialMargin = time.Second

// handleRuns records how runs ended that matter to the quarantine. What restricts a request is
// durable before it is acknowledged.
func (c *Coordinator) handleRuns(ctx context.Context, req control.FleetRunsRequest) (struct{}, error) {
	changes, err := c.changesOfRuns(req)
	if err != nil || len(changes) == 0 {
		return struct{}{}, err
	}
	return struct{}{}, c.toRPCError(c.propose(ctx, durable.Command{Quarantine: changes}))
}

func (c *Coordinator) changesOfRuns(req control.FleetRunsRequest) ([]quarantine.Change, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, r := c.leadership, c.replica.Load()
	if l == nil || r == nil {
		return nil, notLeader("")
	}
	now, nowMS := c.now(), time.Now().UnixMilli()
	st, _ := r.store.State()
	var changes []quarantine.Change
	for _, run := range req.Crashed {
		known := l.crashes.Observe(now, run.Fingerprint, run.Crash)
		entry := st.Quarantine.Find(run.Fingerprint)
		if len(known) == 0 || entry == nil && !quarantine.Suspicious(known) {
			continue
		}
		changes = append(changes, quarantine.Change{
			Kind: quarantine.RecordCrashes, NowMS: nowMS, Fingerprint: run.Fingerprint, Crashes: known, Trial: run.Trial, Convict: run.Trial != "" && !run.Crash.Assumed,
		})
		c.cfg.Logger.Warn("request ended upstreams", "fingerprint", run.Fingerprint, "upstreams", known, "trial", run.Trial, "told_by", req.Process)
	}
	for _, f := range req.Cleared {
		l.crashes.Clear(now, f)
		if st.Quarantine.Find(f) != nil {
			changes = append(changes, quarantine.Change{Kind: quarantine.Clear, NowMS: nowMS, Fingerprint: f})
			c.cfg.Logger.Info("request cleared, it ran to its end", "fingerprint", f, "told_by", req.Process)
		}
	}
	for _, t := range req.Ended {
		if e := st.Quarantine.Find(t.Fingerprint); e != nil && e.Trial == t.Trial {
			changes = append(changes, quarantine.Change{Kind: quarantine.EndTrial, NowMS: nowMS, Fingerprint: t.Fingerprint, Trial: t.Trial})
		}
	}
	return changes, nil
}

// handleTrial decides whether a suspect may run. A granted trial is durable before it is answered,
// so that no change of leader grants more of them.
func (c *Coordinator) handleTrial(ctx context.Context, req control.FleetTrialRequest) (control.FleetTrialResult, error) {
	nowMS := time.Now().UnixMilli()
	changes, err := c.changesOfTrial(nowMS, req)
	if err != nil {
		return control.FleetTrialResult{}, err
	}
	err = c.propose(ctx, durable.Command{Quarantine: changes})
	result := control.FleetTrialResult{Verdict: quarantine.NeedsTrial}
	switch {
	case err == nil:
	case eris.Is(err, quarantine.ErrNotSuspect):
		result.Verdict = quarantine.Free
	case eris.Is(err, quarantine.ErrTrialRunning):
		result.Verdict, result.Busy = quarantine.MustRefuse, true
	case eris.Is(err, quarantine.ErrRefused):
		result.Verdict, result.ExpiresMS = quarantine.MustRefuse, c.quarantineExpiry(req)
	default:
		return control.FleetTrialResult{}, c.toRPCError(err)
	}
	c.metrics.Trials.WithLabelValues(trialOutcome(result)).Inc()
	c.cfg.Logger.Info("trial of a suspect requested", "fingerprint", req.Fingerprint, "trial", req.Trial, "process_name", req.Process, "outcome", trialOutcome(result))
	return result, nil
}

func (c *Coordinator) changesOfTrial(nowMS int64, req control.FleetTrialRequest) ([]quarantine.Change, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.leadership
	if l == nil {
		return nil, notLeader("")
	}
	var known []quarantine.Crash
	for _, crash := range req.Crashes {
		known = l.crashes.Observe(c.now(), req.Fingerprint, crash)
	}
	changes := []quarantine.Change{{Kind: quarantine.Expire, NowMS: nowMS}}
	if quarantine.Suspicious(known) {
		changes = append(changes, quarantine.Change{Kind: quarantine.RecordCrashes, NowMS: nowMS, Fingerprint: req.Fingerprint, Crashes: known})
	}
	return append(changes, quarantine.Change{
		Kind: quarantine.GrantTrial, NowMS: nowMS, Fingerprint: req.Fingerprint, Trial: req.Trial,
		UntilMS: nowMS + req.RemainingMS + trialMargin.Milliseconds(),
	}), nil
}

// quarantineExpiry returns when a refused request will be forgotten, in Unix milliseconds.
func (c *Coordinator) quarantineExpiry(req control.FleetTrialRequest) int64 {
	if r := c.replica.Load(); r != nil {
		st, _ := r.store.State()
		if e := st.Quarantine.Find(req.Fingerprint); e != nil {
			return e.ExpiresMS()
		}
	}
	return 0
}

// trialOutcome returns the metric label of an answer.
func trialOutcome(r control.FleetTrialResult) string {
	switch {
	case r.Busy:
		return "busy"
	case r.Verdict == quarantine.NeedsTrial:
		return "granted"
	}
	return string(r.Verdict)
}
