package entry

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/quarantine"
	"github.com/sesamemux/sesamemux/pkg/upstream"
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
)

// mayRun returns noReason if the request may be sent to an upstream now, otherwise the reason why
// not. For a suspect it asks the leading coordinator for a trial.
func (c *call) mayRun() reason {
	g := c.gateway
	if c.trial != "" || !g.guard.Watches() {
		return noReason
	}
	verdict, expiresMS := g.guard.Decide(g.now(), time.Now().UnixMilli(), c.requestFingerprint())
	switch verdict {
	case quarantine.Free:
		return noReason
	case quarantine.MustRefuse:
		c.refusedUntilMS = expiresMS
		g.metrics.Quarantined.WithLabelValues("refused").Inc()
		return endsUpstreams
	}
	why := c.requestTrial()
	g.metrics.Quarantined.WithLabelValues(quarantineLabels[why]).Inc()
	return why
}

// mayRunFreely reports whether the request may be sent to an upstream without a trial.
func (c *call) mayRunFreely() bool {
	g := c.gateway
	if !g.guard.Watches() {
		return true
	}
	verdict, _ := g.guard.Decide(g.now(), time.Now().UnixMilli(), c.requestFingerprint())
	return verdict == quarantine.Free
}

var quarantineLabels = map[reason]string{noReason: "allowed", endsUpstreams: "refused", trialRunning: "busy", quarantineDeferred: "no coordinator"}

// requestTrial asks for a trial until it is granted, not needed or denied.
func (c *call) requestTrial() reason {
	g := c.gateway
	f := c.requestFingerprint()
	trial := g.cfg.Name + "/" + strconv.FormatInt(int64(g.started), 36) + "/" + strconv.FormatUint(g.trials.Add(1), 36)
	giveUp := g.now() + min(trialWait, c.remaining()/3)
	for {
		result, err := g.askForTrial(c.ctx, control.FleetTrialRequest{
			Process: g.cfg.Name, FleetTrial: control.FleetTrial{Fingerprint: f, Trial: trial},
			Crashes: g.guard.CrashesOf(f), RemainingMS: c.remaining().Milliseconds(),
		})
		switch {
		case err != nil:
			c.cause = err
			return quarantineDeferred
		case result.Verdict == quarantine.Free:
			g.guard.Forgive(f)
			return noReason
		case result.Verdict == quarantine.NeedsTrial:
			c.trial = trial
			return noReason
		case !result.Busy:
			c.refusedUntilMS = result.ExpiresMS
			return endsUpstreams
		}
		if g.now() >= giveUp || c.ctx.Err() != nil {
			return trialRunning
		}
		clock.Sleep(c.ctx, trialPollInterval)
		if verdict, _ := g.guard.Decide(g.now(), time.Now().UnixMilli(), f); verdict == quarantine.Free {
			return noReason
		}
	}
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
func (c *call) settleAttempt(u *fleet.Upstream, state endState, err error) {
	if brokeOff(err) {
		c.accuse(u, state, c.trial)
		c.trial = ""
		return
	}
	if !errors.Is(err, upstream.ErrNotSent) {
		c.endTrial()
	}
}

// accuse reports to the quarantine that an upstream broke off the request.
func (c *call) accuse(u *fleet.Upstream, state endState, trial string) {
	g := c.gateway
	crash := quarantine.Crash{Upstream: u.ID, StartedMS: u.StartedMS, Assumed: state != upstreamEnded}
	if g.guard.Crashed(g.now(), c.requestFingerprint(), crash) || trial != "" {
		g.reporter.crashed(control.FleetCrashedRun{Fingerprint: c.requestFingerprint(), Crash: crash, Trial: trial})
	}
}

// settleRequest reports the end of the request to the quarantine. Only a run whose end was marked by
// the upstream, or survived by it, shows that the request is harmless.
func (c *call) settleRequest() {
	g := c.gateway
	if c.outcome == served && c.status < 300 && c.framed {
		if g.guard.Completed(g.now(), c.requestFingerprint()) {
			g.reporter.cleared(c.requestFingerprint())
			c.trial = ""
		}
	}
	c.endTrial()
}

// endTrial reports that the trial, if there is one, ended without a verdict.
func (c *call) endTrial() {
	if c.trial == "" {
		return
	}
	c.gateway.reporter.trialEnded(control.FleetTrial{Fingerprint: c.requestFingerprint(), Trial: c.trial})
	c.trial = ""
}
