package quarantine

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	// LimitedCrashes is the number of crashes from which MaxTrials holds.
	LimitedCrashes = 3
	// MaxTrials is the number of trials of a suspect with LimitedCrashes.
	MaxTrials = 2
	// SuspectTTL is how long after its last crash a suspect is forgotten.
	SuspectTTL = 10 * time.Minute
	// RefusedTTL is how long after its last crash a request with LimitedCrashes is forgotten.
	RefusedTTL = 24 * time.Hour
	// maxCrashes limits the crashes kept of one request.
	maxCrashes = 8
)

// Entry is a request under quarantine.
type Entry struct {
	Fingerprint   view.Fingerprint `json:"f"`
	Crashes       []Crash          `json:"c"` // in the order of their report
	LastCrashMS   int64            `json:"l"` // Unix milliseconds
	Trial         string           `json:"t,omitempty"`
	TrialUntilMS  int64            `json:"tu,omitempty"` // the trial has ended by then, Unix milliseconds
	Trials        int              `json:"n,omitempty"`  // granted since LimitedCrashes was reached
	CrashedTrials int              `json:"x,omitempty"`
	Convicted     bool             `json:"k,omitempty"`
}

// ExpiresMS returns when the entry is forgotten, in Unix milliseconds.
func (e *Entry) ExpiresMS() int64 {
	ttl := SuspectTTL
	if e.Convicted || len(e.Crashes) >= LimitedCrashes {
		ttl = RefusedTTL
	}
	return e.LastCrashMS + ttl.Milliseconds()
}

// Refused reports whether the request must not run any more.
func (e *Entry) Refused(nowMS int64) bool {
	if nowMS >= e.ExpiresMS() {
		return false
	}
	return e.Convicted || e.trialsSpent() && !e.trialRuns(nowMS)
}

func (e *Entry) trialsSpent() bool {
	return len(e.Crashes) >= LimitedCrashes && e.Trials >= MaxTrials
}

func (e *Entry) trialRuns(nowMS int64) bool { return e.Trial != "" && nowMS < e.TrialUntilMS }

// addCrashes adds crashes that are not known yet.
func (e *Entry) addCrashes(nowMS int64, cs []Crash) {
	for _, c := range cs {
		before := len(e.Crashes)
		next, changed := addCrash(e.Crashes, c)
		if !changed {
			continue
		}
		e.Crashes = next
		e.LastCrashMS = nowMS
		if before < LimitedCrashes && len(next) >= LimitedCrashes {
			e.Trials = 0
		}
	}
}
