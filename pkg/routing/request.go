package routing

import "github.com/sesamemux/sesamemux/pkg/view"

// Request is what routing needs to know of a request.
type Request struct {
	Adapter       string
	Version       string // "" for any; set when an answer goes on
	FailureDomain string // of the gate
	Blocks        int    // prefix blocks of the prompt
	Excluded      []view.TargetID
}
