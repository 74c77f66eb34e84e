package permit

import "github.com/sesamemux/sesamemux/pkg/view"

// holding is the allocator's record of one live gate on a target.
type holding struct {
	Gate      view.GateName
	Permits   int           // in the published share
	Exposed   int           // most work that the gate may have in flight; >= Permits
	LoweredAt view.Revision // revision of the last lowering that is not settled, or 0
	InFlight  int           // as last reported
	Queued    int           // as last reported
	Known     bool          // Finished and Failed were reported
	Finished  uint64        // as last reported
	Failed    uint64        // as last reported
}

// minCountedQueue is the number of queued requests that count as demand even at a
// gate with fewer requests in flight.
const minCountedQueue = 4

// demand returns the work that the gate wants to have on the target. Queued
// requests count at most as much as those in flight: a gate can double its permits
// in one move, and when all gates are overloaded, so that queue lengths carry no
// information, the division stays as it is.
func (h *holding) demand() int { return h.InFlight + min(h.Queued, max(h.InFlight, minCountedQueue)) }

// lower reduces the published permits; the exposure stays until it is settled.
func (h *holding) lower(to int, rev view.Revision) {
	h.Permits = to
	h.LoweredAt = rev
}

// raise increases the published permits.
func (h *holding) raise(to int) {
	h.Permits = to
	h.Exposed = max(h.Exposed, to)
	if h.Exposed == h.Permits {
		h.LoweredAt = 0
	}
}

// settle reduces the exposure to what a report proves.
func (h *holding) settle(u view.TargetUse, final bool) {
	if final {
		h.Permits = 0
		h.Exposed = u.InFlight
		return
	}
	if u.InForce < h.LoweredAt {
		return
	}
	h.Exposed = max(h.Permits, min(h.Exposed, u.InFlight))
	if h.Exposed == h.Permits {
		h.LoweredAt = 0
	}
}
