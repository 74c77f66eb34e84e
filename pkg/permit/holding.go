package permit

import "github.com/sesamemux/sesamemux/pkg/view"

// holding is one live gate's part of a target.
type holding struct {
	Gate      view.GateName
	Permits   int           // published
	Exposed   int           // most work that the gate may have in flight; >= Permits
	LoweredAt view.Revision // of the last lowering that is not settled, or 0
	InFlight  int           // as last reported
	Queued    int           // as last reported
	Known     bool          // the counters below were reported
	Finished  uint64        // as last reported
	Failed    uint64        // as last reported
}

// minCountedQueue is how much waiting work counts at a gate that runs little.
const minCountedQueue = 4

// demand is the work that the gate wants to have on the target. Waiting work
// counts at most as much as running work: a gate can double its part in one
// move, and under overload of all gates, when queues tell nothing, the parts
// stay as they are.
func (h *holding) demand() int { return h.InFlight + min(h.Queued, max(h.InFlight, minCountedQueue)) }

// lower publishes fewer permits; the exposure stays until it is settled.
func (h *holding) lower(to int, rev view.Revision) {
	h.Permits = to
	h.LoweredAt = rev
}

// raise publishes more permits.
func (h *holding) raise(to int) {
	h.Permits = to
	h.Exposed = max(h.Exposed, to)
	if h.Exposed == h.Permits {
		h.LoweredAt = 0
	}
}

// settle lowers the exposure to what a report proves.
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
