package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/durable"
	"github.com/sesamemux/sesamemux/pkg/quarantine"
	"github.com/sesamemux/sesamemux/pkg/view"
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
	before := c.quarantineList()
	err = c.propose(ctx, durable.Command{Quarantine: changes})
	c.logConvictions(before, c.quarantineList())
	return struct{}{}, c.toRPCError(err)
}

func (c *Coordinator) quarantineList() quarantine.List {
	r := c.replica.Load()
	if r == nil {
		return nil
	}
	st, _ := r.store.State()
	return st.Quarantine
}

// logConvictions logs what is refused in the second list only.
func (c *Coordinator) logConvictions(before, after quarantine.List) {
	nowMS := time.Now().UnixMilli()
	for i := range after {
		e := &after[i]
		if b := before.Find(e.Fingerprint); e.Refused(nowMS) && (b == nil || !b.Refused(nowMS)) {
			c.cfg.Logger.Warn("refused from now on, it ends upstreams", "fingerprint", e.Fingerprint, "part", e.IsPart(), "crashes", len(e.Crashes), "crashed_trials", e.CrashedTrials)
		}
	}
}

func (c *Coordinator) changesOfRuns(req control.FleetRunsRequest) ([]quarantine.Change, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, r := c.leading(), c.replica.Load()
	if l == nil || r == nil {
		return nil, notLeader("")
	}
	now, nowMS := c.now(), time.Now().UnixMilli()
	st, _ := r.store.State()
	a := accusations{list: st.Quarantine, nowMS: nowMS}
	for _, run := range req.Crashed {
		suspects := a.add(now, l.crashes, run)
		if len(suspects) > 0 {
			c.cfg.Logger.Warn("request ended upstreams", "fingerprint", run.Fingerprint, "suspects", suspects, "upstream", run.Crash.Upstream,
				"born", run.Crash.StartedMS, "assumed", run.Crash.Assumed, "trial", run.Trial, "told_by", req.Process)
		}
	}
	changes := a.changes
	for f, began := range req.Progressed {
		l.crashes.Progressed(f, now-time.Duration(began)*time.Microsecond)
	}
	for i, f := range req.Cleared {
		run := req.ClearedRun(i)
		harmless := l.crashes.Prove(f, run.Proof(now))
		e := st.Quarantine.Find(f)
		if e == nil {
			continue
		}
		// A trial began after all crashes that a former leader knew.
		if harmless || run.Trial != "" && e.Trial == run.Trial && !l.crashes.CrashedSince(f) {
			changes = append(changes, quarantine.Change{Kind: quarantine.Clear, NowMS: nowMS, Fingerprint: f})
			c.cfg.Logger.Info("request cleared, it ran to its end", "fingerprint", f, "told_by", req.Process)
		}
	}
	for _, t := range req.Ended {
		if st.Quarantine.OnTrial(t.Trial) {
			changes = append(changes, quarantine.Change{Kind: quarantine.EndTrial, NowMS: nowMS, Fingerprint: t.Fingerprint, Trial: t.Trial, NotRun: t.NotRun})
		}
	}
	return changes, nil
}

// recordDueSuspects records what has become a suspect with time, in the background. The caller holds the
// lock.
func (c *Coordinator) recordDueSuspects(ctx context.Context, now time.Duration, l *leadership) {
	due := l.crashes.Due(now)
	if len(due) == 0 {
		return
	}
	a := accusations{list: c.quarantineList(), nowMS: time.Now().UnixMilli()}
	for f, crashes := range due {
		a.record(quarantine.Change{Fingerprint: f, Crashes: crashes})
		c.cfg.Logger.Warn("request ended upstreams and has not completed since", "fingerprint", f, "crashes", len(crashes))
	}
	if len(a.changes) == 0 {
		return
	}
	go func() {
		if err := c.propose(ctx, durable.Command{Quarantine: a.changes}); err != nil {
			c.cfg.Logger.Warn("suspects are not recorded", "suspects", len(a.changes), "cause", err)
		}
	}()
}

// handleTrial decides whether a suspect may run. A granted trial is durable before it is answered,
// so that no change of leader grants more of them.
func (c *Coordinator) handleTrial(ctx context.Context, req control.FleetTrialRequest) (control.FleetTrialResult, error) {
	nowMS := time.Now().UnixMilli()
	changes, err := c.changesOfTrial(nowMS, req)
	if err != nil {
		return control.FleetTrialResult{}, err
	}
	if err = c.denied(changes); err == nil {
		err = c.propose(ctx, durable.Command{Quarantine: changes})
	} else if crashes := changes[:len(changes)-1]; recordsCrashes(crashes) {
		// A part waits for its first trial from the time at which it is recorded.
		if failed := c.propose(ctx, durable.Command{Quarantine: crashes}); failed != nil {
			return control.FleetTrialResult{}, c.toRPCError(failed)
		}
	}
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
	c.cfg.Logger.Info("trial of a suspect requested", "fingerprint", req.Fingerprint, "parts", req.Parts, "trial", req.Trial, "process_name", req.Process, "outcome", trialOutcome(result))
	return result, nil
}

func (c *Coordinator) changesOfTrial(nowMS int64, req control.FleetTrialRequest) ([]quarantine.Change, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, r := c.leading(), c.replica.Load()
	if l == nil || r == nil {
		return nil, notLeader("")
	}
	st, _ := r.store.State()
	a := accusations{list: st.Quarantine, nowMS: nowMS, changes: []quarantine.Change{{Kind: quarantine.Expire, NowMS: nowMS}}}
	a.observe(c.now(), l.crashes, req.Fingerprint, req.Crashes)
	for _, part := range req.Parts {
		a.observe(c.now(), l.crashes, part, req.PartCrashes[part])
	}
	return append(a.changes, quarantine.Change{
		Kind: quarantine.GrantTrial, NowMS: nowMS, Fingerprint: req.Fingerprint, Parts: req.Parts, Trial: req.Trial,
		UntilMS: nowMS + req.RemainingMS + trialMargin.Milliseconds(),
	}), nil
}

func recordsCrashes(changes []quarantine.Change) bool {
	return slices.ContainsFunc(changes, func(c quarantine.Change) bool { return c.Kind == quarantine.RecordCrashes })
}

// denied returns the error of a trial that is not granted now, so that the question needs no entry
// in the log unless it brings new crashes. It returns nil if the log decides.
func (c *Coordinator) denied(changes []quarantine.Change) error {
	r := c.replica.Load()
	if r == nil {
		return nil
	}
	st, _ := r.store.State()
	_, err := st.Quarantine.Apply(changes)
	if eris.Is(err, quarantine.ErrTrialRunning) {
		return err
	}
	return nil
}

// quarantineExpiry returns when a refused request may be tried again, in Unix milliseconds.
func (c *Coordinator) quarantineExpiry(req control.FleetTrialRequest) int64 {
	if r := c.replica.Load(); r != nil {
		st, _ := r.store.State()
		return st.Quarantine.RetryAtMS(time.Now().UnixMilli(), append([]view.Fingerprint{req.Fingerprint}, req.Parts...))
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
