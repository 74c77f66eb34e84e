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

// blasterIncarnation is the incarnation that a blaster reports.
const blasterIncarnation view.Incarnation = 7

// blaster is an upstream that costs little: it writes prepared tokens, each in
// a write of its own.
type blaster struct {
	tokens int
	pace   time.Duration // between two tokens; 0: none
}

const (
	tokenData  = `{"id":"chatcmpl-1","object":"chat.completion.chunk","created":1796345935,"model":"assistant","system_fingerprint":"version-v1","choices":[{"index":0,"delta":{"content":"w31nv "},"finish_reason":null}]}`
	finishData = `{"id":"chatcmpl-1","object":"chat.completion.chunk","created":1796345935,"model":"assistant","system_fingerprint":"version-v1","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`
)

// ServeHTTP implements http.Handler.
func (b *blaster) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != infer.Path {
		b.report(w)
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
		if b.pace > 0 {
			time.Sleep(b.pace)
		}
		write(tokenData)
		id.Offset++
	}
	write(finishData)
	write(infer.DoneMarker)
}

func (b *blaster) report(w http.ResponseWriter) {
	body, err := json.Marshal(report.Report{Status: report.Status{Incarnation: blasterIncarnation}})
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(body)
}
