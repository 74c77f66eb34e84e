package entry

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/endcheck"
	"github.com/sesamemux/sesamemux/pkg/quarantine"
	"github.com/sesamemux/sesamemux/pkg/upstream"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	// trialWait is how long a request waits while another trial of it runs. A harmless request that
	// many clients send is cleared within that time.
	trialWait = 400 * time.Millisecond
	// trialPollInterval is the time between questions for a trial.
	trialPollInterval = 50 * time.Millisecond
)

// Reasons for which the quarantine withholds a request.
const (
	endsUpstreams      reason = "request ends the upstreams that run it"
	trialRunning       reason = "another run of this request is on trial"
	quarantineDeferred reason = "request may end upstreams and no coordinator grants a trial"
	trialNeeded        reason = "request runs in a trial only" // never an answer
)

// mayRun returns noReason if the request may be sent to an upstream now, otherwise the reason why
// not. For a suspect it asks the leading coordinator for a trial.
func (c *call) mayRun() reason {
	g := c.gateway
	if c.trial != "" || !g.guard.Watches() {
		return noReason
	}
	why := c.judge()
	if why == trialNeeded {
		why = c.requestTrial()
		g.metrics.Quarantined.WithLabelValues(quarantineLabels[why]).Inc()
	} else if why == endsUpstreams {
		g.metrics.Quarantined.WithLabelValues("refused").Inc()
	}
	return why
}

// mayRunFreely reports whether the request may be sent to an upstream without a trial.
func (c *call) mayRunFreely() bool {
	g := c.gateway
	return !g.guard.Watches() ||
		g.guard.Judge(g.now(), time.Now().UnixMilli(), c.requestFingerprint(), c.partFingerprints()).Verdict == quarantine.Free
}

// judge asks the guard. It returns trialNeeded if the request may run in a trial only.
func (c *call) judge() reason {
	g := c.gateway
	c.judgement = g.guard.Judge(g.now(), time.Now().UnixMilli(), c.requestFingerprint(), c.partFingerprints())
	switch c.judgement.Verdict {
	case quarantine.MustRefuse:
		c.refusedUntilMS = c.judgement.RetryAtMS
		return endsUpstreams
	case quarantine.NeedsTrial:
		return trialNeeded
	}
	return noReason
}

var quarantineLabels = map[reason]string{noReason: "allowed", endsUpstreams: "refused", trialRunning: "busy", quarantineDeferred: "no coordinator"}

// requestTrial asks for a trial until it is granted, not needed or denied. While a part of the prompt
// is a suspect, the entry host asks about it from time to time only, on behalf of all its requests.
func (c *call) requestTrial() reason {
	g := c.gateway
	trial := g.cfg.Name + "/" + strconv.FormatInt(int64(g.started), 36) + "/" + strconv.FormatUint(g.trials.Add(1), 36)
	giveUp := g.now() + min(trialWait, c.remaining()/3)
	for {
		if !c.judgement.Waits && g.questions.allow(g.now(), c.judgement.Parts, g.balancer.entryCount()) {
			if why := c.askOnce(trial); why != trialRunning {
				return why
			}
		}
		if g.now() >= giveUp || c.ctx.Err() != nil {
			return trialRunning
		}
		clock.Sleep(c.ctx, trialPollInterval)
		if why := c.judge(); why != trialNeeded {
			return why
		}
	}
}

// askOnce asks for a trial of the request and all its parts. It returns trialRunning if the leader
// may grant it later.
func (c *call) askOnce(trial string) reason {
	g := c.gateway
	f := c.requestFingerprint()
	result, err := g.askForTrial(c.ctx, control.FleetTrialRequest{
		Process: g.cfg.Name, FleetTrial: control.FleetTrial{Fingerprint: f, Trial: trial}, Crashes: g.crashesOf(f),
		Parts: c.judgement.Unproven, PartCrashes: c.partCrashes(), RemainingMS: c.remaining().Milliseconds(),
	})
	switch {
	case err != nil:
		c.cause = err
		return quarantineDeferred
	case result.Verdict == quarantine.Free:
		for _, f := range c.fingerprints() {
			g.guard.Forgive(f)
		}
		return noReason
	case result.Verdict == quarantine.NeedsTrial:
		c.trial, c.sentBeforeTrial = trial, c.sent
		return noReason
	case !result.Busy:
		c.refusedUntilMS = result.ExpiresMS
		return endsUpstreams
	}
	return trialRunning
}

// partCrashes returns the crashes that this entry host has seen of the request's parts.
func (c *call) partCrashes() map[view.Fingerprint][]control.FleetCrash {
	seen := map[view.Fingerprint][]control.FleetCrash{}
	for _, part := range c.judgement.Unproven {
		if crashes := c.gateway.crashesOf(part); crashes != nil {
			seen[part] = crashes
		}
	}
	return seen
}

// crashesOf returns the crashes of a request that this entry host has seen, for a message that is
// sent now.
func (g *Gateway) crashesOf(f view.Fingerprint) []control.FleetCrash {
	var crashes []control.FleetCrash
	for _, c := range g.guard.CrashesOf(f) {
		crashes = append(crashes, control.NewFleetCrash(g.now(), c))
	}
	return crashes
}

// askForTrial asks the leading coordinator, and once more if another one leads. It does not wait
// longer than trialWait, so that a request that cannot be served is refused soon.
func (g *Gateway) askForTrial(ctx context.Context, req control.FleetTrialRequest) (control.FleetTrialResult, error) {
	calling, cancel := context.WithTimeout(ctx, min(trialWait, time.Duration(req.RemainingMS)*time.Millisecond/3))
	defer cancel()
	var result control.FleetTrialResult
	err := g.suspects.CallOnce(calling, control.MethodFleetTrial, req, &result)
	if err != nil && calling.Err() == nil {
		err = g.suspects.CallOnce(calling, control.MethodFleetTrial, req, &result)
	}
	return result, err
}

// settleAttempt reports a failed attempt to the quarantine.
func (c *call) settleAttempt(p *placement, noticed time.Duration, state endcheck.State, err error) {
	if brokeOff(err) {
		if c.gateway.blames(p, noticed, state, err) {
			c.accuse(p, noticed, state, c.trial)
			c.trial = ""
		} else {
			c.leaveRun(p, err)
		}
		return
	}
	if !errors.Is(err, upstream.ErrNotSent) {
		c.endTrial(errors.Is(err, errNotRun))
	}
}

// blames reports whether an attempt that broke off with err is held against the request: not if it may have
// been a link of this entry host. noticed is when it broke off.
func (g *Gateway) blames(p *placement, noticed time.Duration, state endcheck.State, err error) bool {
	switch state {
	case endcheck.LinkLost:
		return false
	case endcheck.Alive, endcheck.Unknown:
		if g.links.lostSince(p.chosenAt) {
			return false
		}
		if errors.Is(err, upstream.ErrConnectionLost) {
			return g.links.confirm(noticed)
		}
		return g.links.confirmInSilence(noticed-streamingHeadTimeout, noticed)
	}
	return true
}

// accuseSilent reports in the background that an upstream has been silent since a time.
func (c *call) accuseSilent(p *placement, since time.Duration) {
	g, noticed := c.gateway, c.gateway.now()
	c.requestFingerprint() // while nothing else reads it
	go func() {
		if !g.links.lostSince(p.chosenAt) && g.links.confirmInSilence(since, noticed) {
			c.accuse(p, since, endcheck.Unknown, "")
			return
		}
		c.watchAbandoned(p)
	}()
}

// accuse reports that an upstream broke off the request or is silent: it accuses the request and the
// parts of its prompt.
func (c *call) accuse(p *placement, noticed time.Duration, state endcheck.State, trial string) {
	c.gateway.accuse(c.accusedRun(p, trial), noticed, state)
}

// accuse reports that an upstream broke off a run or is silent.
func (g *Gateway) accuse(run accusedRun, noticed time.Duration, state endcheck.State) {
	f := run.fingerprint
	crash := quarantine.SeenCrash{
		Crash: quarantine.Crash{Upstream: run.upstream.ID, StartedMS: run.upstream.StartedMS, Assumed: state != endcheck.Ended},
		Began: run.began, At: noticed,
	}
	report := crashReport{fingerprint: f, crash: crash, trial: run.trial, parts: run.parts, completed: map[view.Fingerprint]quarantine.Proof{}}
	report.completed[f] = g.guard.Crashed(g.now(), f, crash)
	crash.Request = f
	for _, part := range report.parts {
		report.completed[part] = g.guard.Crashed(g.now(), part, crash)
	}
	g.reporter.crashed(report)
}

// leaveRun watches the upstream of an attempt without an answer, if it may still run the request: the client
// left, or the links of this entry host may have failed.
func (c *call) leaveRun(p *placement, err error) {
	if !provesNotRun(err) && !errors.Is(err, upstream.ErrSendInterrupted) && !errors.Is(err, errMismatchedAnswer) {
		run := c.accusedRun(p, c.trial)
		run.parts = nil // many prompts share them, and nobody knows whether they still ran
		c.watch(run)
	}
}

// watchAbandoned watches the upstream of an attempt beside which others go on. It is no trial.
func (c *call) watchAbandoned(p *placement) {
	run := c.accusedRun(p, "")
	run.parts = nil // as in leaveRun
	c.watch(run)
}

// watchRun watches the upstream of an attempt whose time was over. Its trial, if it is one, lasts as long.
func (c *call) watchRun(p *placement) { c.watch(c.accusedRun(p, c.trial)) }

func (c *call) watch(run accusedRun) {
	g := c.gateway
	if !g.runWatch.add(run) {
		if g.requestLog.allow(g.now(), false) {
			g.cfg.Logger.Warn("a run without an answer is not watched; too many are, or the process stops", "request", c.r.Header.Get(g.cfg.Headers.Attempt), "upstream", run.upstream.ID)
		}
		if run.trial != "" {
			c.endTrial(false)
		}
		return
	}
	if run.trial != "" {
		c.trial = ""
	}
}

// settleRequest reports the end of the request to the quarantine. Only a run whose end was marked by
// the upstream, or survived by it, shows that the request, and each part of its prompt, is harmless.
func (c *call) settleRequest() {
	g := c.gateway
	if c.outcome == served && c.status < 300 && c.framed {
		proof := quarantine.NewProof(c.runBegan, g.now())
		for _, f := range c.fingerprints() {
			switch suspected, tell := g.guard.Completed(f, proof); {
			case suspected || c.trial != "":
				g.reporter.cleared(f, proof, c.trial)
			case tell:
				g.reporter.completed(f, proof)
			}
		}
	}
	c.endTrial(c.sent == c.sentBeforeTrial)
}

// progressTime is how long an upstream must have written an answer to show that the request did not
// end it by running.
const progressTime = 250 * time.Millisecond

// noteProgress tells the quarantine once that the upstream survives the stream.
func (s *streamRelay) noteProgress(now time.Duration) {
	g := s.call.gateway
	if s.progressed || now-s.startedAt < progressTime || !g.guard.Watches() {
		return
	}
	s.progressed = true
	began := s.attempt.placement.chosenAt
	for _, f := range s.call.fingerprints() {
		if g.guard.Progressed(now, f, began) {
			g.reporter.progressed(f, began)
		}
	}
}

// endTrial reports that the trial, if there is one, ended without a crash. notRun says that the
// request reached no upstream or was not run there.
func (c *call) endTrial(notRun bool) {
	if c.trial == "" {
		return
	}
	c.gateway.reporter.trialEnded(control.FleetTrial{Fingerprint: c.requestFingerprint(), Trial: c.trial, NotRun: notRun})
	c.trial = ""
}
