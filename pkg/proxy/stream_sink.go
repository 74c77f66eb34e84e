package proxy

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// streamSink writes server-sent events. Towards a gate they carry identifiers.
type streamSink struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	call    *call
	stall   time.Duration
	begun   bool
	buffer  []byte
	pending int       // events that were written but not flushed
	limited time.Time // when the write deadline was last moved
}

func newStreamSink(w http.ResponseWriter, c *call, stall time.Duration) *streamSink {
	return &streamSink{writer: w, control: http.NewResponseController(w), call: c, stall: stall}
}

func (s *streamSink) begin() {
	if s.begun {
		return
	}
	s.begun = true
	h := s.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.writer.WriteHeader(http.StatusOK)
}

func (s *streamSink) forward(data []byte, offset int, more bool) error {
	s.begin()
	return s.event(data, offset, more)
}

func (s *streamSink) event(data []byte, offset int, more bool) error {
	b := s.buffer[:0]
	if s.call.hop != "" {
		b = append(b, "id: "...)
		b = s.call.eventID(offset).Append(b)
		b = append(b, '\n')
	}
	b = append(b, "data: "...)
	b = append(b, data...)
	b = append(b, "\n\n"...)
	s.buffer = b
	s.limit()
	if _, err := s.writer.Write(b); err != nil {
		return errCallerGone
	}
	s.pending++
	if more && s.pending < maxPending {
		return nil
	}
	s.pending = 0
	if err := s.control.Flush(); err != nil {
		return errCallerGone
	}
	return nil
}

// limit moves the write deadline, not for every event.
func (s *streamSink) limit() {
	now := time.Now()
	if now.Sub(s.limited) < s.stall/4 {
		return
	}
	s.limited = now
	_ = s.control.SetWriteDeadline(now.Add(s.stall))
}

// maxPending bounds the events that one flush carries.
const maxPending = 64

func (s *streamSink) done(offset int) error {
	s.begin()
	return s.event([]byte(infer.DoneMarker), offset, false)
}

func (s *streamSink) fail(status int, r outcome.Refusal) error {
	if !s.begun {
		s.begun = true
		return outcome.Write(s.writer, status, r)
	}
	data, err := json.Marshal(infer.ErrorEvent{Error: r})
	if err != nil {
		return err
	}
	return s.event(data, s.call.tracker.Offset(), false)
}
