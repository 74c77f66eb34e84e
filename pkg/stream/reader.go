package stream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
)

// maxEventBytes is the largest permitted event.
const maxEventBytes = 1 << 20

// Event is one server-sent event.
type Event struct {
	ID    infer.EventID
	HasID bool
	Data  []byte // valid until the next call of Next
}

// Reader reads server-sent events.
type Reader struct {
	r        *bufio.Reader
	data     []byte
	idPrefix []byte // "request.attempt/" of the last event ID
	lastID   infer.EventID
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	if b, ok := r.(*bufio.Reader); ok {
		return &Reader{r: b}
	}
	return &Reader{r: bufio.NewReader(r)}
}

// Next returns the next complete event that has data. It returns io.EOF if the body
// ended between events, and ErrTruncated if it ended inside one.
func (r *Reader) Next() (Event, error) {
	var ev Event
	r.data = r.data[:0]
	started := false
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, endError(err, started || len(line) > 0)
		}
		if len(line) == 0 {
			if len(r.data) == 0 {
				ev, started = Event{}, false
				continue
			}
			ev.Data = r.data[:len(r.data)-1]
			return ev, nil
		}
		started = true
		if err := r.parseField(&ev, line); err != nil {
			return Event{}, err
		}
	}
}

func endError(err error, inside bool) error {
	switch {
	case err == io.EOF && !inside:
		return io.EOF
	case err == io.EOF || err == io.ErrUnexpectedEOF:
		return ErrTruncated
	default:
		return err
	}
}

// readLine returns the next line without its terminator. On an error it returns the
// part of the line that was read.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.r.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = r.readLongLine(line)
	}
	if err != nil {
		return line, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}), nil
}

func (r *Reader) readLongLine(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for {
		more, err := r.r.ReadSlice('\n')
		line = append(line, more...)
		if len(line) > maxEventBytes {
			return line, ErrEventTooLarge
		}
		if err != bufio.ErrBufferFull {
			return line, err
		}
	}
}

func (r *Reader) parseField(ev *Event, line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		if !r.parseID(value) {
			return eris.Wrapf(ErrMalformed, "invalid event id %q", value)
		}
		ev.ID, ev.HasID = r.lastID, true
	case "data":
		r.data = append(r.data, value...)
		r.data = append(r.data, '\n')
		if len(r.data) > maxEventBytes {
			return ErrEventTooLarge
		}
	}
	return nil
}

// Buffered reports whether bytes of a further event are already buffered.
func (r *Reader) Buffered() bool { return r.r.Buffered() > 0 }

// maxTrailingBytes limits the data that may follow the end marker.
const maxTrailingBytes = 4 << 10

// DiscardTrailing reads what follows the end marker, so that the connection can be
// reused.
func (r *Reader) DiscardTrailing() error {
	_, err := io.CopyN(io.Discard, r.r, maxTrailingBytes)
	if err == io.EOF {
		return nil
	}
	return err
}

// parseID parses an event ID into lastID. If only the offset differs from the previous
// ID, which is the usual case, it allocates nothing.
func (r *Reader) parseID(value []byte) bool {
	if len(r.idPrefix) > 0 && bytes.HasPrefix(value, r.idPrefix) {
		n, ok := parseOffset(value[len(r.idPrefix):])
		r.lastID.Offset = n
		return ok
	}
	id, ok := infer.ParseEventID(string(value))
	r.lastID = id
	r.idPrefix = append(r.idPrefix[:0], value[:bytes.IndexByte(value, '/')+1]...)
	return ok
}

// maxOffset limits the number of tokens in an answer.
const maxOffset = 1 << 30

func parseOffset(b []byte) (int, bool) {
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' || n > maxOffset {
			return 0, false
		}
		n = 10*n + int(c-'0')
	}
	return n, len(b) > 0
}
