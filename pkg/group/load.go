package group

import "github.com/sesamemux/sesamemux/pkg/view"

// loadPhase is a step of fetching weights for a role.
type loadPhase int

const (
	loadNone    loadPhase = iota // nothing to fetch, or its work was of use
	loadWaiting                  // the schedule holds it back
	loadRunning                  // the host may fetch
	loadDone                     // fetched; the group has not served with it yet
)

// load is the fetching of weights for a host's role.
type load struct {
	Phase loadPhase
	Since view.Time // when Phase began
}

// allowed tells whether the host may fetch.
func (l load) allowed() bool { return l.Phase != loadWaiting }
