package view

import "fmt"

// StepBackError says that a delta would lower the revision in force.
type StepBackError struct {
	InForce, Offered Revision
}

func (e *StepBackError) Error() string {
	return fmt.Sprintf("view would step back from revision %d to %d", e.InForce, e.Offered)
}

// GapError says that a delta starts at another revision than the one in force.
type GapError struct {
	InForce, From Revision
}

func (e *GapError) Error() string {
	return fmt.Sprintf("delta starts at revision %d, in force is %d", e.From, e.InForce)
}
