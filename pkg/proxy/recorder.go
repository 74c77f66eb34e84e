package proxy

// Recorder takes events for the time line, with key=value pairs.
type Recorder interface {
	Record(event string, pairs ...any)
}

type noRecorder struct{}

func (noRecorder) Record(string, ...any) {}
