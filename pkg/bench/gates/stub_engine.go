package gates

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// stubIncarnation is the incarnation that a stubEngine reports.
const stubIncarnation view.Incarnation = 7

// stubEngine is an upstream that uses little processor time: it writes prepared tokens, each in its
// own write.
type stubEngine struct {
	tokens        int
	tokenInterval time.Duration // between two tokens; 0 is no pause
}

const (
	tokenChunk  = `{"id":"chatcmpl-1","object":"chat.completion.chunk","created":1796345935,"model":"assistant","system_fingerprint":"version-v1","choices":[{"index":0,"delta":{"content":"w31nv "},"finish_reason":null}]}`
	finishChunk = `{"id":"chatcmpl-1","object":"chat.completion.chunk","created":1796345935,"model":"assistant","system_fingerprint":"version-v1","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`
)

// ServeHTTP implements http.Handler.
func (b *stubEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != infer.Path {
		b.writeReport(w)
		return
	}
	attempt, _ := strconv.Atoi(r.Header.Get(infer.HeaderAttempt))
	id := infer.EventID{Request: r.Header.Get(infer.HeaderRequestID), Attempt: attempt}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	var buffer []byte
	write := func(data string) {
		buffer = append(buffer[:0], "id: "...)
		buffer = id.Append(buffer)
		buffer = append(buffer, "\ndata: "...)
		buffer = append(buffer, data...)
		buffer = append(buffer, "\n\n"...)
		_, _ = w.Write(buffer)
		_ = control.Flush()
	}
	for range b.tokens {
		if b.tokenInterval > 0 {
			time.Sleep(b.tokenInterval)
		}
		write(tokenChunk)
		id.Offset++
	}
	write(finishChunk)
	write(infer.DoneMarker)
}

func (b *stubEngine) writeReport(w http.ResponseWriter) {
	body, err := json.Marshal(report.Report{Status: report.Status{Incarnation: stubIncarnation}})
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(body)
}
