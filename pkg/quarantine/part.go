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
	// further ones.
	undecidedPause = 10 * time.Second
	// convictedPause is the same for a convicted part, and for parts that ended upstreams together
	// in more than convictingTrials: a wrong verdict must not last.
	convictedPause = 10 * time.Minute
)

func (e *Entry) isPart() bool { return accusesPart(e.Crashes) }

// partConvicted reports whether upstreams ended in enough trials of which this part is the only
// common suspect.
func (e *Entry) partConvicted() bool { return e.CrashedTrials >= convictingTrials && len(e.With) == 1 }

// refusedUntilMS returns when a refused request may try again, in Unix milliseconds.
func (e *Entry) refusedUntilMS() int64 {
	if e.isPart() {
		return min(e.ExpiresMS(), e.LastTrialMS+convictedPause.Milliseconds())
	}
	return e.ExpiresMS()
}

// partWaits reports whether a request with these parts gets no trial now, because of this one.
func (e *Entry) partWaits(nowMS int64, parts []view.Fingerprint) bool {
	if nowMS >= e.ExpiresMS() {
		return false
	}
	since := nowMS - e.LastTrialMS
	switch {
	case nowMS < e.SinceMS+partTrialDelay.Milliseconds(), e.trialRuns(nowMS):
		return true
	case e.Trials >= MaxTrials && since < undecidedPause.Milliseconds():
		return true
	case e.CrashedTrials < convictingTrials || !e.explainedWithin(parts):
		return false
	case e.CrashedTrials == convictingTrials && len(e.With) > 1:
		return since < undecidedPause.Milliseconds()
	}
	return since < convictedPause.Milliseconds()
}

// explainedWithin reports whether all suspects that were part of each crashed trial are among parts.
func (e *Entry) explainedWithin(parts []view.Fingerprint) bool {
	return !slices.ContainsFunc(e.With, func(f view.Fingerprint) bool { return !slices.Contains(parts, f) })
}

// startPartTrial records a granted trial.
func (e *Entry) startPartTrial(nowMS int64) {
	if e.Trials >= MaxTrials {
		e.Trials = 0
	}
	e.LastTrialMS = nowMS
}

// crashPartTrial records that the upstream of a trial of these suspects is known to have ended.
func (e *Entry) crashPartTrial(suspects []view.Fingerprint) {
	e.Trials = max(e.Trials-1, 0) // CrashedTrials counts it
	e.CrashedTrials++
	if e.CrashedTrials == 1 {
		e.With = suspects
		return
	}
	e.With = without(e.With, func(f view.Fingerprint) bool { return !slices.Contains(suspects, f) })
}

// without returns the fingerprints that are not dropped, in a new slice.
func without(fs []view.Fingerprint, drop func(f view.Fingerprint) bool) []view.Fingerprint {
	return slices.DeleteFunc(slices.Clone(fs), drop)
}
