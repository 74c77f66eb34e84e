package proxy

// The events that the proxy records.
const (
	eventSent       = "request-sent"
	eventBroken     = "request-broken"
	eventFinished   = "request-finished"
	eventRefused    = "request-refused"
	eventHandedOver = "request-handed-over"
	eventGone       = "upstream-gone"
)

// Recorder takes events for the time line, with key=value pairs.
type Recorder interface {
	Record(event string, pairs ...any)
}

type noRecorder struct{}

func (noRecorder) Record(string, ...any) {}
