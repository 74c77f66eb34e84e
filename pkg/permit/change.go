package permit

import "github.com/sesamemux/sesamemux/pkg/view"

// Change is an output of the allocator, to be published at the step's revision.
type Change interface{ change() }

// PutShare publishes a share.
type PutShare struct {
	Share view.Share
}

// DeleteShare takes a share out of the view.
type DeleteShare struct {
	Target view.TargetID
}

func (PutShare) change()    {}
func (DeleteShare) change() {}
