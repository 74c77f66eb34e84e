package once

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/suspect"
)

var (
	errTooManyCrashed    = eris.New("bad requests crashed too many upstreams")
	errInnocentConvicted = eris.New("an innocent request was convicted")
	errNeverRefused      = eris.New("the bad request was never refused")
	errStillSuspected    = eris.New("too many innocent requests are still under suspicion at the end")
)

const (
	crashLength = 2 * time.Minute
	// maxSuspectsAtEnd is the limit on innocent requests under suspicion at the end. Those
	// that nobody has sent again by then are not cleared.
	maxSuspectsAtEnd = 3
)

// crashRows returns the rows about requests that crash upstreams. They belong to the
// promise that a request refused as not run has not run.
func crashRows() []prove.Row {
	one := CrashPlan{Gates: 9, Upstreams: 30, CrashingRequests: 1, Copies: 1, Duration: crashLength}
	copies := one
	copies.Copies = 5
	domainFails := one
	domainFails.CrashingRequests = 0
	domainFails.DomainFailure = true
	killed := one
	killed.KillTrial = true
	several := one
	several.CrashingRequests = 4
	several.Upstreams = 12
	both := copies
	both.DomainFailure = true
	anyCrash := suspect.Unsafe{AnyCrashConvicts: true}
	return []prove.Row{
		crashRow("request crashes upstreams", "sent to each gate in turn", one, func(p *CrashPlan) { p.NoGuard = true }),
		crashRow("request crashes upstreams", "sent to several gates at once", copies, func(p *CrashPlan) { p.NoGuard = true }),
		crashRow("several requests crash upstreams", "at the same time", several, func(p *CrashPlan) { p.NoGuard = true }),
		crashRow("failure domain dark", "under innocent requests", domainFails, func(p *CrashPlan) { p.Machine = anyCrash }),
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
		Run:       func(seed uint64) error { return checkCrashes(p, RunCrashes(seed, p)) },
		Unguarded: func(seed uint64) error { return checkCrashes(q, RunCrashes(seed, q)) },
	}
}

func checkCrashes(p CrashPlan, r CrashResult) error {
	var errs []error
	if bound := maxCrashes(p, r); p.CrashingRequests > 0 && r.CrashedUpstreams > bound {
		errs = append(errs, eris.Wrapf(errTooManyCrashed, "%d, bound %d", r.CrashedUpstreams, bound))
	}
	if r.Convicted > 0 {
		errs = append(errs, eris.Wrapf(errInnocentConvicted, "%d", r.Convicted))
	}
	if p.CrashingRequests > 0 && r.Refused == 0 {
		errs = append(errs, errNeverRefused)
	}
	if r.SuspectsAtEnd > maxSuspectsAtEnd {
		errs = append(errs, eris.Wrapf(errStillSuspected, "%d", r.SuspectsAtEnd))
	}
	return errors.Join(errs...)
}

// maxCrashes returns how many upstreams bad requests may crash: one for each copy sent
// before the request was a suspect, one for each trial, and one for each killed trial
// gate. If several upstreams crash at the same time, a trial may look like a failure of
// the platform and has to be repeated.
func maxCrashes(p CrashPlan, r CrashResult) int {
	trials := p.CrashingRequests
	if p.CrashingRequests > 1 || p.DomainFailure {
		trials = 2 * p.CrashingRequests
	}
	return min(r.SentBeforeTrial, p.CrashingRequests*p.Copies*2) + trials + r.KilledGates
}
