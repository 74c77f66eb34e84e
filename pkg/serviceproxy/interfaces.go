package serviceproxy

import (
	"context"

	"github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Lease reports whether the gate may start new work.
type Lease interface {
	Valid() bool
}

// Records gives access to the replicated once-only records. An error that wraps
// once.ErrNotRecorded means that nothing was or will be recorded; any other error leaves
// this unknown. Both methods may be called again with the same argument.
type Records interface {
	Intend(ctx context.Context, i once.Intent) (once.Decision, error)
	Conclude(ctx context.Context, c once.Conclusion) error
}

// Permits limits the work on each target. *permit.Local implements it.
type Permits interface {
	TryAcquire(target view.TargetID, inc view.Incarnation) (*permit.Permit, bool)
	// Suspect marks a target whose process may have restarted.
	Suspect(target view.TargetID, inc view.Incarnation)
}

// Timeline records events on the time line.
type Timeline interface {
	Record(e Event)
}

// Event is one step in the processing of a call.
type Event struct {
	Kind         EventKind
	Request      string
	Organisation string
	Service      string
	Host         view.HostName
	Outcome      outcome.Outcome
}

// EventKind is the kind of an event.
type EventKind string

// The kinds of events.
const (
	EventIntent   EventKind = "once.intent"    // the intent was recorded; the attempt owns the key
	EventSend     EventKind = "service.send"   // the call is about to be sent
	EventEnd      EventKind = "service.end"    // the call ended
	EventConclude EventKind = "once.conclude"  // the outcome was recorded
	EventAsk      EventKind = "once.ask"       // the service answered an outcome query
	EventRefuse   EventKind = "service.refuse" // the call was refused
)

// noTimeline discards events.
type noTimeline struct{}

// Record implements Timeline.
func (noTimeline) Record(Event) {}
