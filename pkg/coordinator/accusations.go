package coordinator

import (
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/quarantine"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// accusations turns reports of ended upstreams into the changes of the list that they need.
type accusations struct {
	list    quarantine.List
	nowMS   int64
	changes []quarantine.Change
}

// add adds a run whose upstream ended. It returns the suspects among the request and its parts.
func (a *accusations) add(now time.Duration, t *quarantine.Tracker, run control.FleetCrashedRun) []view.Fingerprint {
	var suspects []view.Fingerprint
	ended := run.Trial != "" && !run.Crash.Assumed
	for f, completed := range run.Completed {
		t.Completed(now, f, completed.Proof(now))
	}
	if known, suspect := a.known(now, t, run.Fingerprint, []control.FleetCrash{run.Crash}); suspect {
		suspects = append(suspects, run.Fingerprint)
		a.record(quarantine.Change{Fingerprint: run.Fingerprint, Crashes: known, Trial: run.Trial, Convict: ended, TrialCrash: run.Crash.Crash})
	}
	crash := run.Crash
	crash.Request = run.Fingerprint
	for _, part := range run.Parts {
		if a.observe(now, t, part, []control.FleetCrash{crash}) {
			suspects = append(suspects, part)
		}
	}
	if a.list.OnTrial(run.Trial) {
		a.changes = append(a.changes, quarantine.Change{Kind: quarantine.CrashTrial, NowMS: a.nowMS, Fingerprint: run.Fingerprint, Crashes: []quarantine.Crash{crash.Crash}, Trial: run.Trial, Convict: ended})
	}
	return suspects
}

// observe adds crashes of a request or part. It reports whether that is a suspect.
func (a *accusations) observe(now time.Duration, t *quarantine.Tracker, f view.Fingerprint, crashes []control.FleetCrash) bool {
	known, suspect := a.known(now, t, f, crashes)
	if suspect {
		a.record(quarantine.Change{Fingerprint: f, Crashes: known})
	}
	return suspect
}

// known returns all crashes known of a request or part, and whether that is a suspect.
func (a *accusations) known(now time.Duration, t *quarantine.Tracker, f view.Fingerprint, crashes []control.FleetCrash) ([]quarantine.Crash, bool) {
	var known []quarantine.Crash
	suspicious := false
	for _, crash := range crashes {
		if all, makeSuspect := t.Observe(now, f, crash.Seen(now)); all != nil {
			known, suspicious = all, makeSuspect
		}
	}
	return known, len(known) > 0 && (a.list.Find(f) != nil || suspicious)
}

// record adds the change unless the list or a later change holds the same crashes.
func (a *accusations) record(c quarantine.Change) {
	c.Kind, c.NowMS = quarantine.RecordCrashes, a.nowMS
	if e := a.list.Find(c.Fingerprint); c.Trial == "" && e != nil && e.Holds(c.Crashes) {
		return
	}
	if c.Trial == "" {
		a.changes = slices.DeleteFunc(a.changes, func(d quarantine.Change) bool {
			return d.Kind == quarantine.RecordCrashes && d.Trial == "" && d.Fingerprint == c.Fingerprint
		})
	}
	a.changes = append(a.changes, c)
}
