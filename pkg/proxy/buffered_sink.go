package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/stream"
)

// bufferedSink collects an answer and writes it as one JSON body once it is complete.
type bufferedSink struct {
	writer http.ResponseWriter
	answer stream.Assembler
}

func (s *bufferedSink) forward(data []byte, _ int, _ bool) error { return s.answer.Add(data) }

func (s *bufferedSink) done(int) error {
	body, err := json.Marshal(s.answer.Completion())
	if err != nil {
		return err
	}
	h := s.writer.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	s.writer.WriteHeader(http.StatusOK)
	if _, err := s.writer.Write(body); err != nil {
		return errCallerGone
	}
	return nil
}

func (s *bufferedSink) fail(status int, r outcome.Refusal) error {
	return outcome.Write(s.writer, status, r)
}
