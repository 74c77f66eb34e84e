package view

import "fmt"

// StaleRevisionError is returned for a delta that would lower the revision in
// force.
type StaleRevisionError struct {
	InForce, Offered Revision
}

func (e *StaleRevisionError) Error() string {
	return fmt.Sprintf("view at revision %d refuses lower revision %d", e.InForce, e.Offered)
}

// RevisionGapError is returned for a delta that does not start at the revision in
// force.
type RevisionGapError struct {
	InForce, From Revision
}

func (e *RevisionGapError) Error() string {
	return fmt.Sprintf("delta starts at revision %d, but revision %d is in force", e.From, e.InForce)
}
