package routing

import "github.com/sesamemux/sesamemux/pkg/view"

// Request holds the properties of a request that matter for routing.
type Request struct {
	Adapter       string
	Version       string // "" for any; set when an answer is continued
	FailureDomain string // failure domain of the gate
	Blocks        int    // number of prefix blocks in the prompt
	Excluded      []view.TargetID
}
