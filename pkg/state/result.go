package state

import (
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// ChangeStatus is the result of an operator's change.
type ChangeStatus string

// Results of a change.
const (
	ChangeAccepted ChangeStatus = "accepted"
	ChangeResent   ChangeStatus = "resent"   // accepted before; the outcome is that of the first time
	ChangeConflict ChangeStatus = "conflict" // its base is not the current object revision
	ChangeReused   ChangeStatus = "reused"   // its change ID was used with other content
	ChangeNotFound ChangeStatus = "not-found"
)

// ChangeOutcome is the outcome of a Publish, Rollback or Drain.
type ChangeOutcome struct {
	Status         ChangeStatus
	ObjectRevision uint64
	ViewRevision   view.Revision
	Message        string
}

// Result is what Apply returns for a command; the field for the kind of command is
// set.
type Result struct {
	Revision view.Revision // revision in force after the command
	Change   *ChangeOutcome
	Decision *once.Decision
	Settled  *once.Result
	Err      error
}

// ObjectRevision is an accepted set with its revision, kept for get, diff and
// rollback.
type ObjectRevision struct {
	Revision uint64
	Set      object.Set
}
