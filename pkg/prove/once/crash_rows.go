package once

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/suspect"
)

var (
	errLost      = eris.New("too many upstreams were lost")
	errConvicted = eris.New("an innocent request was convicted")
	errGuilty    = eris.New("the bad request was never refused")
	errStuck     = eris.New("innocent requests stay under suspicion")
)

const (
	crashLength = 2 * time.Minute
	// stuckLimit bounds the innocent requests under suspicion at the end:
	// those that nobody has sent again by then.
	stuckLimit = 3
)

// crashRows are about requests that crash upstreams. The brief lists them
// among the faults; the promise next to them is that a refusal is true.
func crashRows() []prove.Row {
	one := CrashPlan{Gates: 9, Upstreams: 30, CrashingRequests: 1, Copies: 1, Duration: crashLength}
	many := one
	many.Copies = 5
	dark := one
	dark.CrashingRequests = 0
	dark.DomainFailure = true
	killed := one
	killed.KillTrial = true
	several := one
	several.CrashingRequests = 4
	several.Upstreams = 12
	both := many
	both.DomainFailure = true
	anyCrash := suspect.Unsafe{AnyCrashConvicts: true}
	return []prove.Row{
		crashRow("request crashes upstreams", "sent to each gate in turn", one, func(p *CrashPlan) { p.NoGuard = true }),
		crashRow("request crashes upstreams", "sent to several gates at once", many, func(p *CrashPlan) { p.NoGuard = true }),
		crashRow("several requests crash upstreams", "at the same time", several, func(p *CrashPlan) { p.NoGuard = true }),
		crashRow("failure domain dark", "under innocent requests", dark, func(p *CrashPlan) { p.Machine = anyCrash }),
		crashRow("trial gate killed", "at each trial", killed, func(p *CrashPlan) { p.NoGuard = true }),
		crashRow("failure domain dark", "while a request crashes upstreams", both, func(p *CrashPlan) { p.NoGuard = true }),
	}
}

func crashRow(fault, at string, p CrashPlan, off func(*CrashPlan)) prove.Row {
	q := p
	off(&q)
	return prove.Row{
		Promise:   prove.TrueNotRun,
		Area:      area,
		Fault:     fault,
		Step:      at,
		Run:       func(seed uint64) error { return judgeCrashes(p, RunCrashes(seed, p)) },
		Unguarded: func(seed uint64) error { return judgeCrashes(q, RunCrashes(seed, q)) },
	}
}

func judgeCrashes(p CrashPlan, r CrashResult) error {
	var errs []error
	if bound := crashBound(p, r); p.CrashingRequests > 0 && r.CrashedUpstreams > bound {
		errs = append(errs, eris.Wrapf(errLost, "%d, bound %d", r.CrashedUpstreams, bound))
	}
	if r.Convicted > 0 {
		errs = append(errs, eris.Wrapf(errConvicted, "%d", r.Convicted))
	}
	if p.CrashingRequests > 0 && r.Refused == 0 {
		errs = append(errs, errGuilty)
	}
	if r.SuspectsAtEnd > stuckLimit {
		errs = append(errs, eris.Wrapf(errStuck, "%d", r.SuspectsAtEnd))
	}
	return errors.Join(errs...)
}

// crashBound is how many upstreams bad requests may cost: the copies sent
// before they were suspects, a trial each, and one more for each trial gate
// that dies. Where several crash upstreams at the same time, a trial may look
// like a failure of the platform and has to be repeated.
func crashBound(p CrashPlan, r CrashResult) int {
	trials := p.CrashingRequests
	if p.CrashingRequests > 1 || p.DomainFailure {
		trials = 2 * p.CrashingRequests
	}
	return min(r.SentBeforeTrial, p.CrashingRequests*p.Copies*2) + trials + r.KilledGates
}
