package state

import (
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// FillStatus fills in the parts of a status that the replicated state knows.
func (s *State) FillStatus(out *control.Status) {
	out.ObjectRevision = s.objects.Revision
	out.ViewRevision = s.view.Revision
	out.Hosts = values(s.view.Hosts)
	out.Groups = values(s.view.Groups)
	out.Shares = values(s.view.Shares)
	out.Drains = values(s.view.Drains)
	for _, g := range values(s.view.Gates) {
		out.Gates = append(out.Gates, control.GateStatus{Gate: g})
	}
	stats := s.groups.Stats()
	out.GroupDowntimeMS = stats.DowntimeTotal.Milliseconds()
	out.StrandedHosts = stats.Stranded
}

// Quarantines returns suspects and convicted fingerprints.
func (s *State) Quarantines() []view.Quarantine {
	return values(s.view.Quarantines)
}
