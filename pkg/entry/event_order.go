package entry

import (
	"fmt"
	"strconv"
)

// eventOrder checks that the IDs of a stream's events increase, over all attempts, and that a resumed
// stream leaves no event out where each ID was one above the one before. IDs that are no numbers are
// not checked.
type eventOrder struct {
	last        int64 // number of the last event
	known       bool  // whether last is set
	steps       int   // pairs of events seen
	consecutive bool  // whether each of them was one apart
	resumed     bool  // no event of the attempt has arrived yet, but others before it
	violation   string
}

// begin prepares for an attempt that goes on after an event.
func (o *eventOrder) begin(lastID string) {
	o.violation = ""
	o.last, o.known = eventNumber(lastID)
	o.resumed = o.known
}

// follows reports whether an event may come next. If not, violation tells why.
func (o *eventOrder) follows(id string) bool {
	n, ok := eventNumber(id)
	if !ok {
		o.known = false
		return true
	}
	switch {
	case o.known && n <= o.last:
		o.violation = fmt.Sprintf("event %d comes after event %d", n, o.last)
		return false
	case o.resumed && o.steps > 0 && o.consecutive && n != o.last+1:
		o.violation = fmt.Sprintf("the stream is resumed with event %d after event %d", n, o.last)
		return false
	}
	if o.known && !o.resumed {
		o.consecutive = (o.consecutive || o.steps == 0) && n == o.last+1
		o.steps++
	}
	o.last, o.known, o.resumed = n, true, false
	return true
}

func eventNumber(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}
