package announce

import (
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// ErrInvalid reports that an announcement has a missing or invalid field.
var ErrInvalid = eris.New("invalid announcement")

// maxNameBytes is the longest permitted host name.
const maxNameBytes = 253

// Validate checks that the announcement identifies the host, its address, its
// kind and its failure domain. Every error wraps ErrInvalid.
func (a Announcement) Validate() error {
	h := a.Host
	switch {
	case h.Name == "" || len(h.Name) > maxNameBytes:
		return eris.Wrap(ErrInvalid, "name must have 1 to 253 bytes")
	case h.Incarnation == 0:
		return eris.Wrap(ErrInvalid, "incarnation must not be 0")
	case h.Kind != view.KindEngine && h.Kind != view.KindService:
		return eris.Wrapf(ErrInvalid, "kind %q is neither engine nor service", h.Kind)
	case h.Kind == view.KindService && h.Service == "":
		return eris.Wrap(ErrInvalid, "service name is missing for a host of kind service")
	case h.FailureDomain == "":
		return eris.Wrap(ErrInvalid, "failure domain is missing")
	case a.Status.Incarnation != 0 && a.Status.Incarnation != h.Incarnation:
		return eris.Wrap(ErrInvalid, "incarnation of the status differs from that of the host")
	}
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return eris.Wrapf(ErrInvalid, "address %q is not in the form IP:port", h.Address)
	}
	return nil
}
