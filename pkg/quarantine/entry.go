package quarantine

import (
	"slices"
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

// Entry is a request, or a part of prompts, under quarantine.
type Entry struct {
	Fingerprint   view.Fingerprint `json:"f"`
	Crashes       []Crash          `json:"c"` // in the order of their report
	LastCrashMS   int64            `json:"l"` // Unix milliseconds
	Trial         string           `json:"t,omitempty"`
	TrialUntilMS  int64            `json:"tu,omitempty"` // the trial has ended by then, Unix milliseconds
	Trials        int              `json:"n,omitempty"`  // granted since LimitedCrashes was reached
	CrashedTrials int              `json:"x,omitempty"`
	Convicted     bool             `json:"k,omitempty"` // only of a request; see partConvicted
	ConvictedBy   Crash            `json:"cb,omitzero"` // the end of an upstream in the last trial

	// The following are set for parts only.
	SinceMS     int64              `json:"s,omitempty"`  // when it became a suspect, Unix milliseconds
	LastTrialMS int64              `json:"lt,omitempty"` // when the last trial was granted, Unix milliseconds
	TrialBefore int64              `json:"tb,omitempty"` // LastTrialMS before the last trial, which may not run
	TrialParts  []view.Fingerprint `json:"p,omitempty"`  // the parts that the running trial is about
	CrashedIn   []CrashedTrial     `json:"w,omitempty"`  // the last crashed trials
}

// ExpiresMS returns when the entry is forgotten, in Unix milliseconds.
func (e *Entry) ExpiresMS() int64 {
	ttl := SuspectTTL
	if e.Convicted || e.partConvicted() || len(e.Crashes) >= LimitedCrashes {
		ttl = RefusedTTL
	}
	return e.LastCrashMS + ttl.Milliseconds()
}

// Refused reports whether the request, or any request with the part, must not run any more.
func (e *Entry) Refused(nowMS int64) bool {
	if nowMS >= e.ExpiresMS() {
		return false
	}
	if e.IsPart() {
		return e.partConvicted() && nowMS < e.refusedUntilMS()
	}
	return e.Convicted || e.trialsSpent() && !e.trialRuns(nowMS)
}

func (e *Entry) trialsSpent() bool {
	return len(e.Crashes) >= LimitedCrashes && e.Trials >= MaxTrials
}

func (e *Entry) trialRuns(nowMS int64) bool { return e.Trial != "" && nowMS < e.TrialUntilMS }

// Holds reports whether the crashes would add nothing to the entry.
func (e *Entry) Holds(crashes []Crash) bool {
	return !slices.ContainsFunc(crashes, func(c Crash) bool {
		_, adds := addCrash(e.Crashes, c)
		return adds
	})
}

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
