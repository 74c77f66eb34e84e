package permit

import "github.com/sesamemux/sesamemux/pkg/view"

// Change is an output of the allocator, to be published at the revision of the
// step.
type Change interface{ change() }

// PutShare publishes a share.
type PutShare struct {
	Share view.Share
}

// DeleteShare removes a share from the view.
type DeleteShare struct {
	Target view.TargetID
}

func (PutShare) change()    {}
func (DeleteShare) change() {}
