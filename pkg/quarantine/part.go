package quarantine

import (
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	// partTrialDelay is how long a new suspect part waits for its first trial. Requests with other
	// suspects that are running by then, and may end the upstream of the trial, have ended.
	partTrialDelay = time.Second
	// undecidedPause is how long after its last trial a part whose trials decided nothing gets
	// further ones, and convictedPause the same for a convicted part, and for parts of which two
	// trials of no others ended their upstreams: a wrong verdict must not last.
	// Each further trial that ends its upstream makes the pause pauseGrowth times longer, up to
	// maxPause.
	undecidedPause = 10 * time.Second
	convictedPause = time.Minute
	pauseGrowth    = 4
	maxPause       = 10 * time.Minute
	// maxCrashedIn limits the crashed trials that are kept of a part.
	maxCrashedIn = 4
)

// IsPart reports whether the entry is about a part of prompts.
func (e *Entry) IsPart() bool { return accusesPart(e.Crashes) }

// partConvicted reports whether upstreams ended in enough trials of which this part is the only one
// left that may have ended them.
func (e *Entry) partConvicted() bool {
	return e.crashedTrialsWithin([]view.Fingerprint{e.Fingerprint}) >= convictingTrials
}

// crashedTrialsWithin returns under how many requests a trial crashed of which all parts left are
// among these.
func (e *Entry) crashedTrialsWithin(parts []view.Fingerprint) int {
	var requests []view.Fingerprint
	for _, t := range e.CrashedIn {
		if contains(parts, t.Parts) && !slices.Contains(requests, t.Request) {
			requests = append(requests, t.Request)
		}
	}
	return len(requests)
}

// refusedUntilMS returns when a refused request may try again, in Unix milliseconds.
func (e *Entry) refusedUntilMS() int64 {
	if e.IsPart() {
		return min(e.ExpiresMS(), e.LastTrialMS+e.crashedPause([]view.Fingerprint{e.Fingerprint}).Milliseconds())
	}
	return e.ExpiresMS()
}

// partWaits reports whether a trial of these suspects, of which this part is one, must wait because
// of it. A second trial with the same request would prove nothing.
func (e *Entry) partWaits(nowMS int64, request view.Fingerprint, suspects []view.Fingerprint) bool {
	if nowMS >= e.ExpiresMS() {
		return false
	}
	since := nowMS - e.LastTrialMS
	switch {
	case nowMS < e.SinceMS+partTrialDelay.Milliseconds(), e.trialRuns(nowMS):
		return true
	case slices.ContainsFunc(e.CrashedIn, func(t CrashedTrial) bool { return t.Request == request }):
		return true
	case e.Trials >= MaxTrials && since < undecidedPause.Milliseconds():
		return true
	}
	return e.wouldCrash(suspects) && since < e.crashedPause(suspects).Milliseconds()
}

// wouldCrash reports whether earlier trials predict that a trial of these suspects ends its upstream:
// two of them were of no others, or the suspects that all of them had in common are among these, and
// these are not fewer than in each of them. Fewer are worth a trial, since parts that two crashing ones
// come with are in common too.
func (e *Entry) wouldCrash(suspects []view.Fingerprint) bool {
	if len(e.CrashedIn) < convictingTrials {
		return false
	}
	within := e.crashedTrialsWithin(suspects)
	common := e.CrashedIn[0].Parts
	for _, t := range e.CrashedIn[1:] {
		common = without(common, func(f view.Fingerprint) bool { return !slices.Contains(t.Parts, f) })
	}
	return within >= convictingTrials || contains(suspects, common) && (within > 0 || len(suspects) >= e.fewestTried())
}

// fewestTried returns the smallest number of suspects of a crashed trial.
func (e *Entry) fewestTried() int {
	fewest := e.CrashedIn[0].suspects()
	for _, t := range e.CrashedIn[1:] {
		fewest = min(fewest, t.suspects())
	}
	return fewest
}

// crashedPause returns how long after the last trial another one of these suspects waits. It is short,
// whatever has crashed, if the trial may clear sound parts.
func (e *Entry) crashedPause(suspects []view.Fingerprint) time.Duration {
	pause := undecidedPause
	pure := e.crashedTrialsWithin(suspects) >= convictingTrials
	switch {
	case len(e.CrashedIn) == 0, !pure && len(suspects) <= e.fewestTried():
		return pause
	case pure:
		pause = convictedPause
	}
	for n := convictingTrials; n < e.CrashedTrials && pause < maxPause; n++ {
		pause *= pauseGrowth
	}
	return min(pause, maxPause)
}

// startPartTrial records a granted trial.
func (e *Entry) startPartTrial(nowMS int64) {
	if e.Trials >= MaxTrials {
		e.Trials = 0
	}
	e.TrialBefore, e.LastTrialMS = e.LastTrialMS, nowMS
}

// crashPartTrial records that the upstream of a trial of this part is known to have ended.
func (e *Entry) crashPartTrial(t CrashedTrial) {
	end := Crash{Upstream: t.Upstream, StartedMS: t.StartedMS}
	if slices.ContainsFunc(e.CrashedIn, end.wasTrial) {
		e.explainBy(end, t.Parts)
		return
	}
	e.CrashedTrials++
	next := append(slices.Clone(e.CrashedIn), t)
	e.CrashedIn = next[max(len(next)-maxCrashedIn, 0):]
}

// acquit removes a harmless part from the crashed trials.
func (e *Entry) acquit(f view.Fingerprint) {
	if len(e.CrashedIn) == 0 {
		return
	}
	rest := slices.Clone(e.CrashedIn)
	for i := range rest {
		rest[i].Parts = without(rest[i].Parts, func(p view.Fingerprint) bool { return p == f })
	}
	e.CrashedIn = rest
}

// contains reports whether all of some fingerprints are among fs.
func contains(fs, some []view.Fingerprint) bool {
	return !slices.ContainsFunc(some, func(f view.Fingerprint) bool { return !slices.Contains(fs, f) })
}

// without returns the fingerprints that are not dropped, in a new slice.
func without(fs []view.Fingerprint, drop func(f view.Fingerprint) bool) []view.Fingerprint {
	return slices.DeleteFunc(slices.Clone(fs), drop)
}
