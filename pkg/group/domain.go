package group

import "github.com/sesamemux/sesamemux/pkg/view"

// domain is a fabric domain with its engine hosts and groups.
type domain struct {
	name          string
	failureDomain string
	hosts         map[view.HostName]*host
	free          map[view.HostName]*host // without a role
	groups        map[view.GroupID]*group
}
