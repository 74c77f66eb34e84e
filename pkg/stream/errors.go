package stream

import "github.com/rotisserie/eris"

var (
	// ErrTruncated says that the body ended inside an event or before the end
	// marker.
	ErrTruncated = eris.New("stream ended before its end marker")
	// ErrGap says that tokens are missing before an event.
	ErrGap = eris.New("stream has a gap")
	// ErrEventTooLarge says that an event exceeds the limit.
	ErrEventTooLarge = eris.New("stream event is too large")
	// ErrMalformed says that an event can't be understood.
	ErrMalformed = eris.New("stream event is malformed")
	// ErrUpstream says that the upstream ended the answer with an error event.
	ErrUpstream = eris.New("upstream ended the stream with an error")
)
