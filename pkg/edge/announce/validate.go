package announce

import (
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// ErrInvalid says that an announcement lacks what a host must tell.
var ErrInvalid = eris.New("announcement is not valid")

// maxName bounds a name's length in bytes.
const maxName = 253

// Validate checks that the announcement tells who speaks, where, and what it
// runs.
func (a Announcement) Validate() error {
	h := a.Host
	switch {
	case h.Name == "" || len(h.Name) > maxName:
		return eris.Wrap(ErrInvalid, "name must have 1 to 253 bytes")
	case h.Incarnation == 0:
		return eris.Wrap(ErrInvalid, "incarnation must not be 0")
	case h.Kind != view.KindEngine && h.Kind != view.KindService:
		return eris.Wrapf(ErrInvalid, "kind %q is not engine or service", h.Kind)
	case h.Kind == view.KindService && h.Service == "":
		return eris.Wrap(ErrInvalid, "a service host must name its service")
	case h.FailureDomain == "":
		return eris.Wrap(ErrInvalid, "failure domain is missing")
	case a.Status.Incarnation != 0 && a.Status.Incarnation != h.Incarnation:
		return eris.Wrap(ErrInvalid, "status is of another incarnation than the host")
	}
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return eris.Wrapf(ErrInvalid, "address %q is not IP:port", h.Address)
	}
	return nil
}
