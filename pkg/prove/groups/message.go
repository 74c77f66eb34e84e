package groups

import (
	"container/heap"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// message is an order or a report in flight.
type message struct {
	at       time.Duration // time of arrival
	sequence int
	order    *order.Order
	report   *report.Status
	host     view.HostName
	made     time.Duration // when the report was made
}

// network holds messages in flight, ordered by arrival.
type network struct {
	sent     int
	inFlight messages
}

func (n *network) send(m message) {
	n.sent++
	m.sequence = n.sent
	heap.Push(&n.inFlight, m)
}

// arrived removes and returns the messages that have arrived.
func (n *network) arrived(now time.Duration) []message {
	var batch []message
	for len(n.inFlight) > 0 && n.inFlight[0].at <= now {
		batch = append(batch, heap.Pop(&n.inFlight).(message))
	}
	return batch
}

// messages is a heap ordered by arrival.
type messages []message

func (h messages) Len() int      { return len(h) }
func (h messages) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h messages) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Push implements heap.Interface.
func (h *messages) Push(m any) { *h = append(*h, m.(message)) }

// Pop implements heap.Interface.
func (h *messages) Pop() any {
	last := len(*h) - 1
	m := (*h)[last]
	*h = (*h)[:last]
	return m
}
