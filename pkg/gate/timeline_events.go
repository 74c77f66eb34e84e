package gate

import (
	"sync"

	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/timeline"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// TimelineEvents implements Events by recording on the time line.
type TimelineEvents struct {
	recorder *timeline.Recorder

	mu   sync.Mutex
	seen map[view.HostName]view.Incarnation
}

// NewTimelineEvents returns an Events implementation for a recorder.
func NewTimelineEvents(r *timeline.Recorder) *TimelineEvents {
	return &TimelineEvents{recorder: r, seen: make(map[view.HostName]view.Incarnation)}
}

// ViewInstalled implements Events.
func (t *TimelineEvents) ViewInstalled(r view.Revision) {
	t.recorder.Record(timeline.Event{Kind: timeline.ViewInstalled, Revision: uint64(r)})
}

// LeaseChanged implements Events.
func (t *TimelineEvents) LeaseChanged(valid bool, r view.Revision) {
	kind := timeline.LeaseLapsed
	if valid {
		kind = timeline.LeaseGranted
	}
	t.recorder.Record(timeline.Event{Kind: kind, Revision: uint64(r)})
}

// OrderDelivered implements Events.
func (t *TimelineEvents) OrderDelivered(o order.Order, err error) {
	e := timeline.Event{Kind: timeline.OrderEnded, Host: string(o.Host), Group: string(o.Group)}
	if err != nil {
		e.Text = err.Error()
	}
	t.recorder.Record(e)
}

// Announced implements Events. It records only the first announcement of an incarnation, and
// announcements with Leaving set.
func (t *TimelineEvents) Announced(h view.Host) {
	t.mu.Lock()
	known := t.seen[h.Name] == h.Incarnation
	t.seen[h.Name] = h.Incarnation
	t.mu.Unlock()
	switch {
	case h.Leaving:
		t.recorder.Record(timeline.Event{Kind: timeline.UpstreamLeaving, Host: string(h.Name), Domain: h.FailureDomain})
	case !known:
		t.recorder.Record(timeline.Event{Kind: timeline.UpstreamHeard, Host: string(h.Name), Domain: h.FailureDomain})
	}
}
