package stream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
)

// maxEvent bounds the bytes of one event.
const maxEvent = 1 << 20

// Event is one server-sent event.
type Event struct {
	ID    infer.EventID
	HasID bool
	Data  []byte // valid until the next call
}

// Reader reads server-sent events.
type Reader struct {
	r      *bufio.Reader
	data   []byte
	prefix []byte // "request.attempt/" of the last identifier
	last   infer.EventID
}

// NewReader reads events from a body.
func NewReader(r io.Reader) *Reader {
	if b, ok := r.(*bufio.Reader); ok {
		return &Reader{r: b}
	}
	return &Reader{r: bufio.NewReader(r)}
}

// Next returns the next complete event that has data. It returns io.EOF when
// the body ended between events, and ErrTruncated when it ended inside one.
func (r *Reader) Next() (Event, error) {
	var ev Event
	r.data = r.data[:0]
	started := false
	for {
		line, err := r.line()
		if err != nil {
			return Event{}, endOf(err, started || len(line) > 0)
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
		if err := r.field(&ev, line); err != nil {
			return Event{}, err
		}
	}
}

func endOf(err error, inside bool) error {
	switch {
	case err == io.EOF && !inside:
		return io.EOF
	case err == io.EOF || err == io.ErrUnexpectedEOF:
		return ErrTruncated
	default:
		return err
	}
}

// line returns a line without its end. On an error it returns what came of it.
func (r *Reader) line() ([]byte, error) {
	line, err := r.r.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = r.longLine(line)
	}
	if err != nil {
		return line, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}), nil
}

func (r *Reader) longLine(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for {
		more, err := r.r.ReadSlice('\n')
		line = append(line, more...)
		if len(line) > maxEvent {
			return line, ErrEventTooLarge
		}
		if err != bufio.ErrBufferFull {
			return line, err
		}
	}
}

func (r *Reader) field(ev *Event, line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		if !r.identify(value) {
			return eris.Wrapf(ErrMalformed, "event id %q", value)
		}
		ev.ID, ev.HasID = r.last, true
	case "data":
		r.data = append(r.data, value...)
		r.data = append(r.data, '\n')
		if len(r.data) > maxEvent {
			return ErrEventTooLarge
		}
	}
	return nil
}

// Buffered tells whether bytes of a further event are at hand.
func (r *Reader) Buffered() bool { return r.r.Buffered() > 0 }

// maxDrain bounds what may follow the end marker.
const maxDrain = 4 << 10

// DiscardTrailing reads what follows the end marker, so that the connection can be used
// again.
func (r *Reader) DiscardTrailing() error {
	_, err := io.CopyN(io.Discard, r.r, maxDrain)
	if err == io.EOF {
		return nil
	}
	return err
}

// identify reads an identifier. As a rule only its offset differs from that of
// the last one, so that nothing is allocated.
func (r *Reader) identify(value []byte) bool {
	if len(r.prefix) > 0 && bytes.HasPrefix(value, r.prefix) {
		n, ok := parseOffset(value[len(r.prefix):])
		r.last.Offset = n
		return ok
	}
	id, ok := infer.ParseEventID(string(value))
	r.last = id
	r.prefix = append(r.prefix[:0], value[:bytes.IndexByte(value, '/')+1]...)
	return ok
}

// maxOffset bounds the tokens of an answer.
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
