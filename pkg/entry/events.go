package entry

import "bytes"

// events cuts a stream into whole events. What is behind the last whole event
// is kept until the rest comes.
type events struct {
	rest []byte
	last string // ID of the last whole event
}

// add takes bytes and returns the whole events up to now, and how many.
func (e *events) add(b []byte) ([]byte, int) {
	e.rest = append(e.rest, b...)
	end, count := 0, 0
	for {
		i, size := eventEnd(e.rest[end:])
		if i < 0 {
			break
		}
		if id, ok := eventID(e.rest[end : end+i]); ok {
			e.last = id
		}
		end += i + size
		count++
	}
	if end == 0 {
		return nil, 0
	}
	whole := bytes.Clone(e.rest[:end])
	e.rest = append(e.rest[:0], e.rest[end:]...)
	return whole, count
}

// torn tells whether part of an event is left.
func (e *events) torn() bool { return len(e.rest) > 0 }

// eventEnd finds the empty line that ends an event: its place and size.
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

// eventID returns the ID line of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}
