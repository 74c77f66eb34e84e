package engine

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
)

// eventWriter writes one attempt's answer.
type eventWriter struct {
	context echo.Context
	request *infer.Request
	stream  *stream
	fault   Fault
	version string
	die     func()
	events  int // written
	held    []byte
	buffer  []byte
}

// streamAnswer writes an event for each token, then the end marker.
func (w *eventWriter) streamAnswer() error {
	res := w.context.Response()
	res.Header().Set("Content-Type", "text/event-stream")
	res.Header().Set(infer.HeaderRequestID, w.stream.key.Request)
	res.WriteHeader(http.StatusOK)
	res.Flush()
	offset := w.request.ResumeOffset
	for offset < w.stream.answer.Len() {
		token, err := w.next()
		if err != nil {
			return w.abort()
		}
		if err := w.event(token, w.chunk(w.stream.answer.Token(token), nil)); err != nil {
			return err
		}
		offset = token + 1
		if w.faultAt(offset) {
			return w.actOut()
		}
	}
	finish := w.stream.answer.FinishReason()
	if err := w.event(offset, w.chunk("", &finish)); err != nil {
		return err
	}
	return w.write(w.frame(offset, []byte(infer.DoneMarker)))
}

// next waits for a token.
func (w *eventWriter) next() (int, error) {
	select {
	case t := <-w.stream.tokens:
		return t, nil
	default:
	}
	select {
	case t := <-w.stream.tokens:
		return t, nil
	case <-w.stream.gone:
		return 0, w.stream.err
	case <-w.context.Request().Context().Done():
		return 0, w.context.Request().Context().Err()
	}
}

func (w *eventWriter) chunk(text string, finish *string) *infer.Chunk {
	c := &infer.Chunk{
		ID:                "chatcmpl-" + w.stream.key.Request,
		Object:            infer.ObjectChunk,
		Created:           time.Now().Unix(),
		Model:             w.request.Model,
		SystemFingerprint: infer.FingerprintPrefix + w.version,
		Choices:           []infer.ChunkChoice{{Delta: infer.Delta{Content: text}, FinishReason: finish}},
	}
	if finish != nil {
		c.Usage = w.usage()
	}
	return c
}

func (w *eventWriter) usage() *infer.Usage {
	prompt, n := w.stream.seq.Prompt, w.stream.answer.Len()
	return &infer.Usage{PromptTokens: prompt, CompletionTokens: n, TotalTokens: prompt + n, CachedTokens: w.stream.seq.Cached}
}

func (w *eventWriter) event(offset int, c *infer.Chunk) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return w.write(w.frame(offset, data))
}

// frame puts data into an event with its identifier.
func (w *eventWriter) frame(offset int, data []byte) []byte {
	id := infer.EventID{Request: w.stream.key.Request, Attempt: w.stream.key.Attempt, Offset: offset}
	b := append(w.buffer[:0], "id: "...)
	b = id.Append(b)
	b = append(b, "\ndata: "...)
	b = append(b, data...)
	b = append(b, "\n\n"...)
	w.buffer = b
	return b
}

// write sends an event, or what a fault makes of it.
func (w *eventWriter) write(b []byte) error {
	w.events++
	due := w.events == w.fault.AfterTokens+1
	switch {
	case w.fault.Kind == FaultTruncate && due:
		_ = w.flush(b[:w.cutAt(len(b))])
		if err := w.abort(); err != nil {
			return err
		}
		return errCut
	case w.fault.Kind == FaultDuplicate:
		return errors.Join(w.flush(b), w.flush(b))
	case w.fault.Kind == FaultStale && due:
		stale := infer.EventID{Request: w.stream.key.Request, Attempt: w.stream.key.Attempt + 1, Offset: w.events - 1}
		return errors.Join(w.flush(append(stale.Append([]byte("id: ")), "\ndata: {}\n\n"...)), w.flush(b))
	case w.fault.Kind == FaultReorder && due:
		w.held = append([]byte(nil), b...)
		return nil
	case w.held != nil:
		held := w.held
		w.held = nil
		return errors.Join(w.flush(b), w.flush(held))
	default:
		return w.flush(b)
	}
}

// cutAt is where a truncated event of n bytes ends.
func (w *eventWriter) cutAt(n int) int {
	if w.fault.AfterBytes < 0 {
		return max(0, n+w.fault.AfterBytes)
	}
	return min(n, w.fault.AfterBytes)
}

func (w *eventWriter) flush(b []byte) error {
	if _, err := w.context.Response().Write(b); err != nil {
		return err
	}
	w.context.Response().Flush()
	return nil
}

// wholeAnswer writes the answer in one body.
func (w *eventWriter) wholeAnswer() error {
	var text strings.Builder
	for offset := w.request.ResumeOffset; offset < w.stream.answer.Len(); offset++ {
		token, err := w.next()
		if err != nil {
			return w.abort()
		}
		text.WriteString(w.stream.answer.Token(token))
		if w.faultAt(offset + 1) {
			return w.actOut()
		}
	}
	w.context.Response().Header().Set(infer.HeaderRequestID, w.stream.key.Request)
	return w.context.JSON(http.StatusOK, infer.Completion{
		ID:                "chatcmpl-" + w.stream.key.Request,
		Object:            infer.ObjectCompletion,
		Created:           time.Now().Unix(),
		Model:             w.request.Model,
		SystemFingerprint: infer.FingerprintPrefix + w.version,
		Choices: []infer.Choice{{
			Message:      infer.Message{Role: "assistant", Content: text.String()},
			FinishReason: w.stream.answer.FinishReason(),
		}},
		Usage: w.usage(),
	})
}
