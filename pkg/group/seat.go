package group

import "github.com/sesamemux/sesamemux/pkg/view"

// seat is one rank of a group: the host that has it, and the one that is being
// prepared to take it over.
type seat struct {
	Host        view.HostName // "" while vacant
	Incarnation view.Incarnation
	Address     string
	Home        view.HostName // last host that had the seat
	Next        view.HostName // "" if none is prepared
	NextOf      view.Incarnation
	NextAddress string

	host *host // of Host
	next *host // of Next
}

// vacant tells whether no host has the seat.
func (s *seat) vacant() bool { return s.Host == "" }

// vacate takes the seat from its host.
func (s *seat) vacate() {
	s.Home = s.Host
	s.Host, s.Incarnation, s.Address, s.host = "", 0, "", nil
}

// prepare makes a host the one that will take the seat over.
func (s *seat) prepare(h *host) {
	s.Next, s.NextOf, s.NextAddress = h.Info.Name, h.Info.Incarnation, h.Info.Address
	s.next = h
}

// cancel forgets the host that was being prepared.
func (s *seat) cancel() {
	s.Next, s.NextOf, s.NextAddress, s.next = "", 0, "", nil
}

// occupy gives the seat to a host.
func (s *seat) occupy(h *host) {
	s.Host, s.Incarnation, s.Address = h.Info.Name, h.Info.Incarnation, h.Info.Address
	s.Home = h.Info.Name
	s.host = h
}
