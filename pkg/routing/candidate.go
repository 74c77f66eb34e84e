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
	FreePermits int         // permits that this gate has free
	InFlight    int         // this gate's own requests
	Load        report.Load // as last reported, late
	SentSince   int         // this gate's requests sent since Load was taken
	Bound       int         // of work in flight over all gates
	Unhealthy   bool        // a member does not report the group as it is in force
	HasTrial    bool        // a suspect is on trial there
	PrefixHits  int         // leading blocks of the prompt that are hinted to be cached
}
