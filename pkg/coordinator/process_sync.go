package coordinator

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// processSync is the last sync request of a process.
type processSync struct {
	receivedAt time.Duration
	request    control.FleetSyncRequest // without its usage
	usage      usage
	confirmed  control.FleetConfirmed // the newest changes in force there
	unreported bool                   // the leader does not know what was confirmed
	server     string                 // the coordinator that reported the call; empty if it came here
}

// record stores a sync request that was received at a time. It reports whether the request confirms
// changes that were not known to be in force.
func (p *processSync) record(at time.Duration, req control.FleetSyncRequest) bool {
	if at >= p.receivedAt {
		p.receivedAt = at
		if !req.ServesEntryHosts { // its reports tell its usage
			p.usage = takeUsage(at, &req)
		}
		p.request = req
	}
	return p.confirm(control.FleetConfirmed{Process: req.Process, Index: req.Index, InForce: req.InForceVersion()})
}

// confirm stores which changes are in force at the process. It reports whether some were not known
// to be.
func (p *processSync) confirm(c control.FleetConfirmed) bool {
	before := p.confirmed
	p.confirmed = control.FleetConfirmed{Process: c.Process, Index: max(before.Index, c.Index), InForce: max(before.InForce, c.InForce)}
	return p.confirmed != before
}
