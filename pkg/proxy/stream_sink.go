package proxy

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// streamSink writes server-sent events. Events sent to a peer gate carry event IDs.
type streamSink struct {
	writer        http.ResponseWriter
	control       *http.ResponseController
	call          *call
	stallTimeout  time.Duration
	begun         bool
	buffer        []byte
	unflushed     int       // events written since the last flush
	deadlineSetAt time.Time // when the write deadline was last set
}

func newStreamSink(w http.ResponseWriter, c *call, stall time.Duration) *streamSink {
	return &streamSink{writer: w, control: http.NewResponseController(w), call: c, stallTimeout: stall}
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
	return s.writeEvent(data, offset, more)
}

func (s *streamSink) writeEvent(data []byte, offset int, more bool) error {
	b := s.buffer[:0]
	if s.call.handedOverBy != "" {
		b = append(b, "id: "...)
		b = s.call.eventID(offset).Append(b)
		b = append(b, '\n')
	}
	b = append(b, "data: "...)
	b = append(b, data...)
	b = append(b, "\n\n"...)
	s.buffer = b
	s.extendWriteDeadline()
	if _, err := s.writer.Write(b); err != nil {
		return errCallerGone
	}
	s.unflushed++
	if more && s.unflushed < maxUnflushedEvents {
		return nil
	}
	s.unflushed = 0
	if err := s.control.Flush(); err != nil {
		return errCallerGone
	}
	return nil
}

// extendWriteDeadline restarts the stall timeout. A deadline less than a quarter of the
// timeout too early is kept, so that not every event sets it.
func (s *streamSink) extendWriteDeadline() {
	now := time.Now()
	if now.Sub(s.deadlineSetAt) < s.stallTimeout/4 {
		return
	}
	s.deadlineSetAt = now
	_ = s.control.SetWriteDeadline(now.Add(s.stallTimeout))
}

// maxUnflushedEvents limits the events written between two flushes.
const maxUnflushedEvents = 64

func (s *streamSink) done(offset int) error {
	s.begin()
	return s.writeEvent([]byte(infer.DoneMarker), offset, false)
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
	return s.writeEvent(data, s.call.tracker.Offset(), false)
}
