package infer

import (
	"strconv"
	"strings"
)

// EventID identifies one event in the stream of an attempt.
type EventID struct {
	Request string
	Attempt int
	Offset  int // number of tokens before this event
}

// Append appends the identifier in the form request.attempt/offset to b.
func (e EventID) Append(b []byte) []byte {
	b = append(b, e.Request...)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(e.Attempt), 10)
	b = append(b, '/')
	return strconv.AppendInt(b, int64(e.Offset), 10)
}

// ParseEventID parses an identifier and reports whether it is well-formed.
func ParseEventID(s string) (EventID, bool) {
	name, offset, ok := strings.Cut(s, "/")
	if !ok {
		return EventID{}, false
	}
	dot := strings.LastIndexByte(name, '.')
	if dot < 0 {
		return EventID{}, false
	}
	attempt, err1 := strconv.Atoi(name[dot+1:])
	n, err2 := strconv.Atoi(offset)
	if err1 != nil || err2 != nil || n < 0 {
		return EventID{}, false
	}
	return EventID{Request: name[:dot], Attempt: attempt, Offset: n}, true
}
