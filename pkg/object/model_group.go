package object

import "time"

// ModelGroup asks for copies of a model, each spanning several hosts of one
// fabric domain.
type ModelGroup struct {
	Name           string
	Version        string        // refers to a Version
	Adapters       []string      // refer to Adapters that fit the version
	Copies         int           // groups wanted, 1 to 4096
	Minimum        int           // groups never gone under by the system's own choice, 0 to Copies
	HostsPerGroup  int           // 1 to 16
	FailureDomains []string      // where groups may stand; empty means anywhere
	Priority       int           // load order between model groups, 0 to 9; higher first
	MaxInFlight    int           // requests in flight on a proven group, 1 to 4096
	ColdInFlight   int           // requests in flight on a just-started group, 1 to MaxInFlight
	RampTime       time.Duration // least time from cold to proven
	PauseGrace     time.Duration // how long a silent member may be waited for
}
