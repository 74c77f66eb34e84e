package timeline

// ring is a ring buffer of the newest events.
type ring struct {
	events []Event
	next   int // index of the oldest event once the ring is full
	size   int
}

func newRing(size int) *ring { return &ring{size: size} }

func (r *ring) add(e Event) {
	if len(r.events) < r.size {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % r.size
}

// list returns the events from oldest to newest.
func (r *ring) list() []Event {
	all := make([]Event, 0, len(r.events))
	all = append(all, r.events[r.next:]...)
	return append(all, r.events[:r.next]...)
}
