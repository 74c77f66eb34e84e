package group

import "github.com/sesamemux/sesamemux/pkg/view"

// Change is a change of the view that Step requests.
type Change interface{ change() }

// PutGroup publishes a group.
type PutGroup struct{ Group view.Group }

// DeleteGroup removes a group from the view.
type DeleteGroup struct{ ID view.GroupID }

func (PutGroup) change()    {}
func (DeleteGroup) change() {}
