package routing

import (
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Candidate is a target as the gate sees it now.
type Candidate struct {
	Target      view.TargetID
	Group       view.Group
	Head        view.Member
	FreePermits int         // this gate's free permits
	InFlight    int         // this gate's requests in flight
	Load        report.Load // last reported load, which lags behind
	SentSince   int         // this gate's requests sent since Load was measured
	Bound       int         // limit of the work in flight from all gates
	Unhealthy   bool        // a member's report differs from the group in force
	HasTrial    bool        // a suspect request is on trial there
	PrefixHits  int         // leading blocks of the prompt that are probably cached
}
