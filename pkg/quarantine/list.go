package quarantine

import (
	"slices"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// maxEntries limits the entries of a list. The entry with the oldest crash makes room.
const maxEntries = 256

// List is the replicated state: all requests under quarantine, sorted by fingerprint. It is
// read-only; Apply returns a new one.
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
		case EndTrial:
			if e := next.Find(c.Fingerprint); e != nil && e.Trial == c.Trial {
				e.Trial = ""
			}
		case Clear:
			next = slices.DeleteFunc(next, func(e Entry) bool { return e.Fingerprint == c.Fingerprint })
		case Expire:
			next = slices.DeleteFunc(next, func(e Entry) bool { return c.NowMS >= e.ExpiresMS() })
		}
	}
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
	}
	e := &l[i]
	e.addCrashes(c.NowMS, c.Crashes)
	if c.Trial != "" && e.Trial == c.Trial {
		e.Trial = ""
		e.CrashedTrials++
		e.Convicted = e.Convicted || c.Convict || e.CrashedTrials >= convictingTrials
	}
	return l
}

// convictingTrials is the number of trials with an assumed crash that convicts a request.
const convictingTrials = 2

func (l List) dropOldest() List {
	oldest := 0
	for i := range l {
		if l[i].LastCrashMS < l[oldest].LastCrashMS {
			oldest = i
		}
	}
	return slices.Delete(l, oldest, oldest+1)
}

func (l List) grantTrial(c Change) error {
	e := l.Find(c.Fingerprint)
	switch {
	case e == nil:
		return ErrNotSuspect
	case e.Trial == c.Trial && e.trialRuns(c.NowMS):
		return nil // sent again
	case e.Refused(c.NowMS):
		return ErrRefused
	case e.trialRuns(c.NowMS):
		return ErrTrialRunning
	}
	e.Trial, e.TrialUntilMS = c.Trial, c.UntilMS
	e.Trials++
	return nil
}
