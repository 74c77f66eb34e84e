package serviceproxy

import (
	"context"

	"github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Lease tells whether the gate may send new work now.
type Lease interface {
	Valid() bool
}

// Records reaches the replicated records. An error that is
// once.ErrNotRecorded says that nothing was recorded, nor will be; any other
// leaves it unknown. Both methods may be repeated unchanged.
type Records interface {
	Intend(ctx context.Context, i once.Intent) (once.Decision, error)
	Conclude(ctx context.Context, c once.Conclusion) error
}

// Permits bounds the work on each target; *permit.Local is one.
type Permits interface {
	TryAcquire(target view.TargetID, inc view.Incarnation) (*permit.Permit, bool)
	// Suspect tells that the target may have started anew.
	Suspect(target view.TargetID, inc view.Incarnation)
}

// Timeline takes events of the time line.
type Timeline interface {
	Record(e Event)
}

// Event is one step of a call.
type Event struct {
	Kind         EventKind
	Request      string
	Organisation string
	Service      string
	Host         view.HostName
	Outcome      outcome.Outcome
}

// EventKind says what happened.
type EventKind string

// The events of a call.
const (
	EventIntent   EventKind = "once.intent"   // the attempt owns the key
	EventSend     EventKind = "service.send"  // right before the first byte
	EventEnd      EventKind = "service.end"   // the call ended
	EventConclude EventKind = "once.conclude" // the outcome was recorded
	EventAsk      EventKind = "once.ask"      // the service was asked for an outcome
	EventRefuse   EventKind = "service.refuse"
)

// noTimeline drops events.
type noTimeline struct{}

// Record implements Timeline.
func (noTimeline) Record(Event) {}
