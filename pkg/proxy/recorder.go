package proxy

// Names of the recorded events.
const (
	eventSent       = "request-sent"
	eventBroken     = "request-broken"
	eventFinished   = "request-finished"
	eventRefused    = "request-refused"
	eventHandedOver = "request-handed-over"
	eventGone       = "upstream-gone"
)

// Recorder records events on the time line, with alternating keys and values.
type Recorder interface {
	Record(event string, pairs ...any)
}

type noRecorder struct{}

func (noRecorder) Record(string, ...any) {}
