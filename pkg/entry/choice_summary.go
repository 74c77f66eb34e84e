package entry

import (
	"fmt"
	"time"
)

// choiceSummary describes the inputs of a choice that found no upstream: the number of candidates,
// how many were excluded and why, and the running requests against the capacity.
func (b *balancer) choiceSummary(now time.Duration, req placementRequest) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	ts := b.candidates(req)
	running, room, failing, tried := 0, 0, 0, 0
	for _, t := range ts {
		running += t.total()
		room += b.capacity(now, t, req)
		switch {
		case req.tried[t.ID]:
			tried++
		case now < t.suspectUntil, now < t.backoffUntil, now < t.rejectedUntil, now < t.pausedUntil:
			failing++
		}
	}
	return fmt.Sprintf("upstreams=%d tried=%d failing=%d running=%d room=%d", len(ts), tried, failing, running, room)
}
