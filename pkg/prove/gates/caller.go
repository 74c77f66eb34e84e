package gates

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/fake/engine"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/stream"
)

var (
	errWrongAnswer     = eris.New("caller got an answer that is not its own")
	errAnswerTruncated = eris.New("answer truncated without a sign of an error")
)

// request is a caller's request.
type request struct {
	organisation string
	prompt       string
	tokens       int
	streaming    bool
	deadline     time.Duration
}

// reply is what a caller received.
type reply struct {
	complete bool
	refusal  *outcome.Refusal
	err      error // the connection broke, so the caller knows that the answer is incomplete
	elapsed  time.Duration
}

// ask sends a request to a gate and checks that an answer is the caller's own. An error
// means that a promise was broken.
func (w *world) ask(g *gate, q request) (reply, error) {
	began := time.Now()
	r, err := w.askUntimed(g, q)
	r.elapsed = time.Since(began)
	return r, err
}

func (w *world) askUntimed(g *gate, q request) (reply, error) {
	body, err := json.Marshal(infer.Request{
		Model:     modelGroup,
		Messages:  []infer.Message{{Role: "user", Content: q.prompt}},
		Stream:    q.streaming,
		MaxTokens: q.tokens,
	})
	if err != nil {
		return reply{}, err
	}
	t := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, to string) (net.Conn, error) {
			return w.network.dial(ctx, "caller", to)
		},
	}
	defer t.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.address+infer.Path, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set(infer.HeaderOrganisation, q.organisation)
	if q.deadline > 0 {
		req.Header.Set(infer.HeaderDeadline, ms(q.deadline))
	}
	res, err := t.RoundTrip(req)
	if err != nil {
		return reply{err: err}, nil
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return readRefusal(res.Body)
	}
	if q.streaming {
		return readStream(res.Body, q)
	}
	return readCompletion(res.Body, q)
}

func readRefusal(b io.Reader) (reply, error) {
	var r outcome.Refusal
	if err := json.NewDecoder(b).Decode(&r); err != nil {
		return reply{err: err}, nil
	}
	if !r.Outcome.Valid() {
		return reply{}, eris.Errorf("refusal without an outcome: %+v", r)
	}
	return reply{refusal: &r}, nil
}

func (q request) answer(version string) engine.Answer {
	r := infer.Request{Messages: []infer.Message{{Role: "user", Content: q.prompt}}}
	return engine.NewAnswer(version, "", r.Prompt(), 0, q.tokens)
}

func readCompletion(b io.Reader, q request) (reply, error) {
	var c infer.Completion
	if err := json.NewDecoder(b).Decode(&c); err != nil {
		return reply{err: err}, nil
	}
	want := q.answer(strings.TrimPrefix(c.SystemFingerprint, infer.FingerprintPrefix)).Text()
	if len(c.Choices) != 1 || c.Choices[0].Message.Content != want {
		return reply{}, eris.Wrapf(errWrongAnswer, "%q: got %+v, want %q", q.prompt, c.Choices, want)
	}
	return reply{complete: true}, nil
}

// readStream reads events like a simple client. A stream that ends without an end
// marker, an error event or a broken connection breaks the promise.
func readStream(b io.Reader, q request) (reply, error) {
	var text strings.Builder
	version := ""
	r := stream.NewReader(b)
	for {
		ev, err := r.Next()
		if err == io.EOF {
			return reply{}, eris.Wrapf(errAnswerTruncated, "%q after %q", q.prompt, text.String())
		}
		if err != nil {
			return reply{err: err}, nil
		}
		if string(ev.Data) == infer.DoneMarker {
			break
		}
		var failed struct{ Error *outcome.Refusal }
		if json.Unmarshal(ev.Data, &failed) == nil && failed.Error != nil {
			return reply{refusal: failed.Error}, nil
		}
		var c infer.Chunk
		if err := json.Unmarshal(ev.Data, &c); err != nil {
			return reply{}, eris.Wrapf(errWrongAnswer, "event %q", ev.Data)
		}
		version = strings.TrimPrefix(c.SystemFingerprint, infer.FingerprintPrefix)
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if want := q.answer(version).Text(); text.String() != want {
		return reply{}, eris.Wrapf(errWrongAnswer, "%q: got %q, want %q", q.prompt, text.String(), want)
	}
	return reply{complete: true}, nil
}

// promptText returns the prompt as engines see it.
func (q request) promptText() string {
	r := infer.Request{Messages: []infer.Message{{Role: "user", Content: q.prompt}}}
	return r.Prompt()
}
