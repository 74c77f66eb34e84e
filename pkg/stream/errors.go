package stream

import "github.com/rotisserie/eris"

var (
	// ErrTruncated reports that the body ended inside an event or before the end
	// marker.
	ErrTruncated = eris.New("stream ended before its end marker")
	// ErrGap reports that tokens are missing before an event.
	ErrGap = eris.New("tokens are missing from the stream")
	// ErrEventTooLarge reports that an event exceeds the size limit.
	ErrEventTooLarge = eris.New("stream event is too large")
	// ErrMalformed reports that an event can't be parsed.
	ErrMalformed = eris.New("stream event is malformed")
	// ErrUpstream reports that the upstream ended the stream with an error event.
	ErrUpstream = eris.New("upstream ended the stream with an error")
)
