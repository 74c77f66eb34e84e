package entry

import (
	"bytes"
	"io"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// eventSplitter splits a byte stream into whole server-sent events. An incomplete event at the end
// is kept until the rest arrives.
type eventSplitter struct {
	partial []byte
	lastID  string // ID of the last whole event
	order   eventOrder
}

// begin prepares for the answer of another attempt, which goes on after lastID.
func (e *eventSplitter) begin() {
	e.partial = e.partial[:0]
	e.order.begin(e.lastID)
}

// add appends bytes and returns the events completed by them, and their number.
func (e *eventSplitter) add(b []byte) ([]byte, int) {
	e.partial = append(e.partial, b...)
	end, count := 0, 0
	for {
		i, size := eventEnd(e.partial[end:])
		if i < 0 {
			break
		}
		if id, ok := eventID(e.partial[end : end+i]); ok {
			if !e.order.follows(id) {
				break
			}
			e.lastID = id
		}
		end += i + size
		count++
	}
	if end == 0 {
		return nil, 0
	}
	whole := bytes.Clone(e.partial[:end])
	e.partial = append(e.partial[:0], e.partial[end:]...)
	return whole, count
}

// maxEventBytes limits an event.
const maxEventBytes = 256 << 10

// partialTooLong reports whether the buffered event exceeds maxEventBytes.
func (e *eventSplitter) partialTooLong() bool { return len(e.partial) > maxEventBytes }

// hasPartial reports whether an incomplete event is buffered.
func (e *eventSplitter) hasPartial() bool { return len(e.partial) > 0 }

// check returns an error if what was read up to now is no beginning of whole events. end is the error of
// the last read.
func (e *eventSplitter) check(end error) error {
	switch {
	case e.order.violation != "":
		return eris.Wrap(errMismatchedAnswer, e.order.violation)
	case e.partialTooLong():
		return eris.Wrapf(errMismatchedAnswer, "an event exceeds %d bytes", maxEventBytes)
	case end == io.EOF && e.hasPartial():
		return eris.Wrap(upstream.ErrConnectionLost, "stream ended in the middle of an event")
	}
	return nil
}

// eventEnd returns the index and size of the blank line that ends an event, or -1 and 0.
func eventEnd(b []byte) (int, int) {
	i := bytes.Index(b, []byte("\n\n"))
	j := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case i < 0 && j < 0:
		return -1, 0
	case j < 0 || i >= 0 && i < j:
		return i, 2
	}
	return j, 4
}

// eventID returns the value of an event's id field.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}
