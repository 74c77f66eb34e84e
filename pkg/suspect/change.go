package suspect

import "github.com/sesamemux/sesamemux/pkg/view"

// Change is an output of the Machine: a change of the view's quarantines.
type Change interface{ change() }

// PutQuarantine publishes a quarantine.
type PutQuarantine struct {
	Quarantine view.Quarantine
}

// DeleteQuarantine withdraws a quarantine.
type DeleteQuarantine struct {
	Fingerprint view.Fingerprint
}

func (PutQuarantine) change()    {}
func (DeleteQuarantine) change() {}
