package state

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/control"
)

const (
	// maxChangeIDs limits the change IDs whose outcomes are remembered.
	maxChangeIDs = 65_536
	// trimBatch is the number of outcomes dropped at a time.
	trimBatch = 8_192
	// maxHistory limits the changes in the history.
	maxHistory = 1_000
	// maxSets limits the earlier sets that a rollback can choose.
	maxSets = 32
)

// recordedChange is the remembered outcome of one change ID.
type recordedChange struct {
	ChangeID string
	Digest   string
	Outcome  ChangeOutcome
}

// changeLog remembers accepted changes: their outcomes by change ID, their history,
// and the latest sets.
type changeLog struct {
	Answers []recordedChange // oldest first
	History []control.Change
	Sets    []ObjectRevision

	byID map[string]int // index into Answers, plus Dropped
	// Dropped is the number of outcomes removed from the front of Answers.
	Dropped int
}

func newChangeLog() *changeLog {
	return &changeLog{byID: make(map[string]int)}
}

// rebuildIndex rebuilds byID after a restore.
func (l *changeLog) rebuildIndex() {
	l.byID = make(map[string]int, len(l.Answers))
	for i, a := range l.Answers {
		l.byID[a.ChangeID] = i + l.Dropped
	}
}

// outcomeOf returns the outcome for a change ID that was accepted before: the
// recorded one, or ChangeReused if the digest differs.
func (l *changeLog) outcomeOf(id, digest string) (ChangeOutcome, bool) {
	i, ok := l.byID[id]
	if !ok {
		return ChangeOutcome{}, false
	}
	a := l.Answers[i-l.Dropped]
	out := a.Outcome
	if a.Digest != digest {
		return ChangeOutcome{
			Status:         ChangeReused,
			ObjectRevision: out.ObjectRevision,
			ViewRevision:   out.ViewRevision,
			Message:        "the change ID was used for another change",
		}, true
	}
	out.Status = ChangeResent
	return out, true
}

// add records an accepted change.
func (l *changeLog) add(digest string, out ChangeOutcome, c control.Change) {
	l.byID[c.ChangeID] = len(l.Answers) + l.Dropped
	l.Answers = append(l.Answers, recordedChange{ChangeID: c.ChangeID, Digest: digest, Outcome: out})
	l.History = append(l.History, c)
	if len(l.Answers) > maxChangeIDs+trimBatch {
		l.trimAnswers()
	}
	if len(l.History) > maxHistory {
		l.History = slices.Delete(l.History, 0, 1)
	}
}

// trimAnswers drops the oldest outcomes. It drops many at once, because each time
// all remaining ones are moved.
func (l *changeLog) trimAnswers() {
	for _, a := range l.Answers[:trimBatch] {
		delete(l.byID, a.ChangeID)
	}
	l.Answers = slices.Delete(l.Answers, 0, trimBatch)
	l.Dropped += trimBatch
}

// keepSet keeps a set for get, diff and rollback.
func (l *changeLog) keepSet(r ObjectRevision) {
	l.Sets = append(l.Sets, r)
	if len(l.Sets) > maxSets {
		l.Sets = slices.Delete(l.Sets, 0, 1)
	}
}

// set returns the kept set of an object revision.
func (l *changeLog) set(revision uint64) (ObjectRevision, bool) {
	for _, s := range l.Sets {
		if s.Revision == revision {
			return s, true
		}
	}
	return ObjectRevision{}, false
}
