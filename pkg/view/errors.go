package view

import "fmt"

// StaleRevisionError says that a delta would lower the revision in force.
type StaleRevisionError struct {
	InForce, Offered Revision
}

func (e *StaleRevisionError) Error() string {
	return fmt.Sprintf("view would step back from revision %d to %d", e.InForce, e.Offered)
}

// RevisionGapError says that a delta starts at another revision than the one in force.
type RevisionGapError struct {
	InForce, From Revision
}

func (e *RevisionGapError) Error() string {
	return fmt.Sprintf("delta starts at revision %d, in force is %d", e.From, e.InForce)
}
