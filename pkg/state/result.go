package state

import (
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// ChangeStatus tells how an operator's change ended.
type ChangeStatus string

// How a change can end.
const (
	ChangeAccepted ChangeStatus = "accepted"
	ChangeResent   ChangeStatus = "resent"   // accepted before; same answer
	ChangeConflict ChangeStatus = "conflict" // its base is not the current revision
	ChangeReused   ChangeStatus = "reused"   // its ID was used for other content
	ChangeNotFound ChangeStatus = "not-found"
)

// ChangeOutcome is the result of Publish, Rollback and Drain.
type ChangeOutcome struct {
	Status         ChangeStatus
	ObjectRevision uint64
	ViewRevision   view.Revision
	Message        string
}

// Result is what Apply returns for a command; the field that fits the command
// is set.
type Result struct {
	Revision view.Revision // in force after the command
	Change   *ChangeOutcome
	Decision *once.Decision
	Settled  *once.Result
	Err      error
}

// ObjectRevision is one accepted set, kept for get, diff and rollback.
type ObjectRevision struct {
	Revision uint64
	Set      object.Set
}
