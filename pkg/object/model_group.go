package object

import "time"

// ModelGroup requests copies of a model, each spanning several hosts of one fabric
// domain.
type ModelGroup struct {
	Name           string
	Version        string        // refers to a Version
	Adapters       []string      // refer to Adapters that fit the version
	Copies         int           // desired number of groups, 1 to 4096
	Minimum        int           // least serving groups left by changes that the system initiates, 0 to Copies
	HostsPerGroup  int           // 1 to 16
	FailureDomains []string      // allowed for placement; empty means any
	Priority       int           // loading priority among model groups, 0 to 9; higher first
	MaxInFlight    int           // maximum requests in flight after the ramp-up, 1 to 4096
	ColdInFlight   int           // maximum requests in flight on a newly started group, 1 to MaxInFlight
	RampTime       time.Duration // minimum duration of the ramp-up
	PauseGrace     time.Duration // how long to wait for a member that does not respond
}
