package group

import "github.com/sesamemux/sesamemux/pkg/view"

// Change is a change of the view that Step asks for.
type Change interface{ change() }

// PutGroup publishes a group.
type PutGroup struct{ Group view.Group }

// DeleteGroup takes a group out of the view.
type DeleteGroup struct{ ID view.GroupID }

func (PutGroup) change()    {}
func (DeleteGroup) change() {}
