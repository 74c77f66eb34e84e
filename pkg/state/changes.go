package state

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/control"
)

const (
	// maxChangeIDs bounds the change IDs whose answers are remembered.
	maxChangeIDs = 65_536
	// trimBatch is how many of them are forgotten at a time.
	trimBatch = 8_192
	// maxHistory bounds the changes that the history lists.
	maxHistory = 1_000
	// maxSets bounds the earlier sets that can be rolled back to.
	maxSets = 32
)

// recordedChange is the remembered answer to one change ID.
type recordedChange struct {
	ChangeID string
	Digest   string
	Outcome  ChangeOutcome
}

// changeLog remembers accepted changes: their answers by change ID, their
// history, and the latest sets.
type changeLog struct {
	Answers []recordedChange // oldest first
	History []control.Change
	Sets    []ObjectRevision

	byID map[string]int // index into Answers plus Dropped
	// Dropped counts answers that left the front of Answers.
	Dropped int
}

func newChangeLog() *changeLog {
	return &changeLog{byID: make(map[string]int)}
}

// rebuildIndex rebuilds the look-up table after a restore.
func (l *changeLog) rebuildIndex() {
	l.byID = make(map[string]int, len(l.Answers))
	for i, a := range l.Answers {
		l.byID[a.ChangeID] = i + l.Dropped
	}
}

// outcomeOf returns the outcome of a change ID that was accepted before.
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

// add remembers an accepted change.
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

// trimAnswers forgets the oldest answers, many at once, since each time moves
// all that stay.
func (l *changeLog) trimAnswers() {
	for _, a := range l.Answers[:trimBatch] {
		delete(l.byID, a.ChangeID)
	}
	l.Answers = slices.Delete(l.Answers, 0, trimBatch)
	l.Dropped += trimBatch
}

// keepSet remembers a set for get, diff and rollback.
func (l *changeLog) keepSet(r ObjectRevision) {
	l.Sets = append(l.Sets, r)
	if len(l.Sets) > maxSets {
		l.Sets = slices.Delete(l.Sets, 0, 1)
	}
}

// set returns a remembered set.
func (l *changeLog) set(revision uint64) (ObjectRevision, bool) {
	for _, s := range l.Sets {
		if s.Revision == revision {
			return s, true
		}
	}
	return ObjectRevision{}, false
}
