package group

import "github.com/sesamemux/sesamemux/pkg/view"

// rankSlot is one rank of a group: its host, and the host that is prepared to replace it.
type rankSlot struct {
	Host                view.HostName // "" while the rank has no host
	Incarnation         view.Incarnation
	Address             string
	LastHost            view.HostName    `msgpack:"Home"` // last host of the rank
	PreparedHost        view.HostName    `msgpack:"Next"` // "" if no host is prepared
	PreparedIncarnation view.Incarnation `msgpack:"NextOf"`
	PreparedAddress     string           `msgpack:"NextAddress"`

	host     *host // the host named by Host
	prepared *host // the host named by PreparedHost
}

// empty reports whether the rank has no host.
func (s *rankSlot) empty() bool { return s.Host == "" }

// clear removes the host of the rank.
func (s *rankSlot) clear() {
	s.LastHost = s.Host
	s.Host, s.Incarnation, s.Address, s.host = "", 0, "", nil
}

// prepare sets the host that will replace the host of the rank.
func (s *rankSlot) prepare(h *host) {
	s.PreparedHost, s.PreparedIncarnation, s.PreparedAddress = h.Info.Name, h.Info.Incarnation, h.Info.Address
	s.prepared = h
}

// cancelPrepared removes the prepared host.
func (s *rankSlot) cancelPrepared() {
	s.PreparedHost, s.PreparedIncarnation, s.PreparedAddress, s.prepared = "", 0, "", nil
}

// assign makes a host the host of the rank.
func (s *rankSlot) assign(h *host) {
	s.Host, s.Incarnation, s.Address = h.Info.Name, h.Info.Incarnation, h.Info.Address
	s.LastHost = h.Info.Name
	s.host = h
}
