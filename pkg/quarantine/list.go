package quarantine

import (
	"slices"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// maxEntries limits the entries of a list. The entry with the oldest crash makes room.
const maxEntries = 256

// List is the replicated state: all requests and parts under quarantine, sorted by fingerprint. It
// is read-only; Apply returns a new one.
type List []Entry

// Find returns the entry of a request, or nil if there is none.
func (l List) Find(f view.Fingerprint) *Entry {
	if i, found := l.search(f); found {
		return &l[i]
	}
	return nil
}

func (l List) search(f view.Fingerprint) (int, bool) {
	return slices.BinarySearchFunc(l, f, func(e Entry, f view.Fingerprint) int {
		return strings.Compare(string(e.Fingerprint), string(f))
	})
}

// Apply returns the list after the changes, in their order. It is deterministic. The error is that
// of the last GrantTrial; the other changes apply nevertheless.
func (l List) Apply(changes []Change) (List, error) {
	next := slices.Clone(l)
	var err error
	for _, c := range changes {
		switch c.Kind {
		case RecordCrashes:
			next = next.recordCrashes(c)
		case GrantTrial:
			err = next.grantTrial(c)
		case CrashTrial:
			next = next.crashTrial(c)
		case EndTrial:
			next.endTrial(c)
		case Clear:
			next = next.clear(c.Fingerprint)
		case Expire:
			next = slices.DeleteFunc(next, func(e Entry) bool { return c.NowMS >= e.ExpiresMS() })
		}
	}
	next.revise()
	return next, err
}

func (l List) recordCrashes(c Change) List {
	i, found := l.search(c.Fingerprint)
	if !found {
		if len(l) >= maxEntries {
			l = l.dropOldest()
			i, _ = l.search(c.Fingerprint)
		}
		l = slices.Insert(l, i, Entry{Fingerprint: c.Fingerprint})
		if accusesPart(c.Crashes) {
			l[i].SinceMS = c.NowMS
		}
	}
	e := &l[i]
	e.addCrashes(c.NowMS, c.Crashes)
	if c.Trial != "" && e.Trial == c.Trial {
		e.Trial = ""
		e.CrashedTrials++
		e.Convicted = e.Convicted || c.Convict || e.CrashedTrials >= convictingTrials
		e.ConvictedBy = c.TrialCrash
	}
	if e.IsPart() {
		for _, end := range e.Crashes {
			l.joinExplanations(end)
		}
	}
	return l
}

// revise takes back the verdict on a request whose upstream ended in a single trial if a convicted
// part was running there too. A request that holds the part stays refused because of it.
func (l List) revise() {
	for i := range l {
		e := &l[i]
		if !e.Convicted || e.CrashedTrials >= convictingTrials || !l.explained(e.ConvictedBy) {
			continue
		}
		e.Convicted = false
		e.Trials = max(e.Trials-1, 0)
	}
}

func (l List) explained(c Crash) bool {
	return c.Upstream != "" && slices.ContainsFunc(l, func(e Entry) bool {
		return e.partConvicted() && slices.ContainsFunc(e.Crashes, c.sameIncarnation)
	})
}

// convictingTrials is the number of trials with an assumed crash that convicts a request.
const convictingTrials = 2

// clear removes what is harmless, also from what explains crashes of others.
func (l List) clear(f view.Fingerprint) List {
	l = slices.DeleteFunc(l, func(e Entry) bool { return e.Fingerprint == f })
	for i := range l {
		l[i].acquit(f)
	}
	return l
}

// RetryAtMS returns when a request is not refused any more, in Unix milliseconds; 0 if it is not. fs
// are its fingerprint and those of its parts.
func (l List) RetryAtMS(nowMS int64, fs []view.Fingerprint) int64 {
	at := int64(0)
	for _, f := range fs {
		if e := l.Find(f); e != nil && e.Refused(nowMS) {
			at = max(at, e.refusedUntilMS())
		}
	}
	return at
}

// OnTrial reports whether a trial is running.
func (l List) OnTrial(trial string) bool {
	return trial != "" && slices.ContainsFunc(l, func(e Entry) bool { return e.Trial == trial })
}

func (l List) endTrial(c Change) {
	for i := range l {
		if e := &l[i]; c.Trial != "" && e.Trial == c.Trial {
			e.Trial, e.TrialParts = "", nil
			if c.NotRun {
				e.Trials = max(e.Trials-1, 0)
				e.LastTrialMS = e.TrialBefore
			}
		}
	}
}

// crashTrial ends the trial of parts whose upstream ended. If that is known, all parts that the trial
// was about are suspects from then on: any of them may be the cause. An end that is assumed only
// decides nothing.
func (l List) crashTrial(c Change) List {
	var about []view.Fingerprint
	for i := range l {
		if e := &l[i]; e.IsPart() && e.Trial == c.Trial {
			about = e.TrialParts
			e.Trial, e.TrialParts = "", nil
			if c.Convict {
				e.Trials = max(e.Trials-1, 0) // CrashedTrials counts it
			}
		}
	}
	if !c.Convict || len(about) == 0 || len(c.Crashes) == 0 {
		return l
	}
	end := c.Crashes[0]
	t := CrashedTrial{Upstream: end.Upstream, StartedMS: end.StartedMS, Request: c.Fingerprint, Tried: len(about), Parts: about}
	for _, f := range about {
		l = l.recordCrashes(Change{NowMS: c.NowMS, Fingerprint: f, Crashes: c.Crashes})
		l.Find(f).crashPartTrial(t)
	}
	l.joinExplanations(end)
	return l
}

// joinExplanations makes all suspect parts that were running when an upstream ended explain each
// crashed trial that it was.
func (l List) joinExplanations(end Crash) {
	if !slices.ContainsFunc(l, func(e Entry) bool { return slices.ContainsFunc(e.CrashedIn, end.wasTrial) }) {
		return
	}
	var running []view.Fingerprint
	for i := range l {
		if e := &l[i]; e.IsPart() && (slices.ContainsFunc(e.CrashedIn, end.wasTrial) || slices.ContainsFunc(e.Crashes, end.sameIncarnation)) {
			running = append(running, e.Fingerprint)
		}
	}
	for i := range l {
		l[i].explainBy(end, running)
	}
}

// dropOldest removes the entry with the oldest crash, a convicted one only if there is no other.
func (l List) dropOldest() List {
	oldest := 0
	for i := range l {
		a, b := &l[i], &l[oldest]
		kept := a.Convicted || a.partConvicted()
		if oldestKept := b.Convicted || b.partConvicted(); kept != oldestKept {
			if oldestKept {
				oldest = i
			}
			continue
		}
		if a.LastCrashMS < b.LastCrashMS {
			oldest = i
		}
	}
	return slices.Delete(l, oldest, oldest+1)
}

// grantTrial grants a trial of all suspects of a request, or of none.
func (l List) grantTrial(c Change) error {
	whole, parts := l.suspectsOf(c)
	suspects := parts
	var suspectParts []view.Fingerprint
	for _, e := range parts {
		suspectParts = append(suspectParts, e.Fingerprint)
	}
	if whole != nil {
		suspects = append(slices.Clone(parts), whole)
	}
	switch {
	case len(suspects) == 0:
		return ErrNotSuspect
	case !slices.ContainsFunc(suspects, func(e *Entry) bool { return e.Trial != c.Trial || !e.trialRuns(c.NowMS) }):
		return nil // sent again
	case slices.ContainsFunc(suspects, func(e *Entry) bool { return e.Refused(c.NowMS) }):
		return ErrRefused
	case whole != nil && len(parts) > 0: // the crash could not be attributed
		return ErrTrialRunning
	case slices.ContainsFunc(suspects, func(e *Entry) bool { return e.trialRuns(c.NowMS) }),
		slices.ContainsFunc(parts, func(e *Entry) bool { return e.partWaits(c.NowMS, c.Fingerprint, suspectParts) }),
		slices.ContainsFunc(parts, func(e *Entry) bool { return len(e.CrashedIn) > 0 }) && l.crashedPartRuns(c.NowMS):
		return ErrTrialRunning
	}
	for _, e := range suspects {
		if e.IsPart() {
			e.startPartTrial(c.NowMS)
			e.TrialParts = c.Parts
		}
		e.Trial, e.TrialUntilMS = c.Trial, c.UntilMS
		e.Trials++
	}
	return nil
}

// crashedPartRuns reports whether a part that crashed a trial is on trial again. Two of them at a time
// could end one upstream, which decides nothing.
func (l List) crashedPartRuns(nowMS int64) bool {
	return slices.ContainsFunc(l, func(e Entry) bool { return len(e.CrashedIn) > 0 && e.trialRuns(nowMS) })
}

// suspectsOf returns the entries of a request and of its parts.
func (l List) suspectsOf(c Change) (whole *Entry, parts []*Entry) {
	for _, f := range c.Parts {
		if e := l.Find(f); e != nil {
			parts = append(parts, e)
		}
	}
	return l.Find(c.Fingerprint), parts
}
