package infer

import (
	"strconv"
	"strings"
)

// EventID names one event of an attempt's stream.
type EventID struct {
	Request string
	Attempt int
	Offset  int // tokens before this event
}

// Append writes the identifier as request.attempt/offset.
func (e EventID) Append(b []byte) []byte {
	b = append(b, e.Request...)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(e.Attempt), 10)
	b = append(b, '/')
	return strconv.AppendInt(b, int64(e.Offset), 10)
}

// ParseEventID reads an identifier.
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
