package entry

import (
	"fmt"
	"time"
)

// inputs says in short what a choice without a result was made from: how many
// upstreams could serve at all, why each was passed over, and how many requests
// run there against the room for them.
func (b *balancer) inputs(now time.Duration, w wish) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	ts := b.candidates(w)
	running, room, failing, tried := 0, 0, 0, 0
	for _, t := range ts {
		running += t.total()
		room += b.room(now, t, w)
		switch {
		case w.tried[t.ID]:
			tried++
		case now < t.suspectUntil, now < t.backoffUntil:
			failing++
		}
	}
	return fmt.Sprintf("upstreams=%d tried=%d failing=%d running=%d room=%d", len(ts), tried, failing, running, room)
}
