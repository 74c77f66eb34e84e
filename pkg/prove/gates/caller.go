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
	errWrongAnswer = eris.New("caller got another answer than its own")
	errShortAnswer = eris.New("answer ended short and clean")
)

// question is one caller's request.
type question struct {
	organisation string
	prompt       string
	tokens       int
	streaming    bool
	deadline     time.Duration
}

// reply is what the caller got.
type reply struct {
	whole   bool
	refusal *outcome.Refusal
	err     error // the connection broke: the caller sees that it is not whole
	elapsed time.Duration
}

// ask sends a request to a gate and checks that an answer is the caller's own.
// The error says that a promise was broken.
func (w *world) ask(g *gate, q question) (reply, error) {
	began := time.Now()
	r, err := w.askUntimed(g, q)
	r.elapsed = time.Since(began)
	return r, err
}

func (w *world) askUntimed(g *gate, q question) (reply, error) {
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
	return readWhole(res.Body, q)
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

func (q question) answer(version string) engine.Answer {
	r := infer.Request{Messages: []infer.Message{{Role: "user", Content: q.prompt}}}
	return engine.NewAnswer(version, "", r.Prompt(), 0, q.tokens)
}

func readWhole(b io.Reader, q question) (reply, error) {
	var c infer.Completion
	if err := json.NewDecoder(b).Decode(&c); err != nil {
		return reply{err: err}, nil
	}
	want := q.answer(strings.TrimPrefix(c.SystemFingerprint, infer.FingerprintPrefix)).Text()
	if len(c.Choices) != 1 || c.Choices[0].Message.Content != want {
		return reply{}, eris.Wrapf(errWrongAnswer, "%q: got %+v, want %q", q.prompt, c.Choices, want)
	}
	return reply{whole: true}, nil
}

// readStream reads events as a plain caller does. A stream that ends without
// end marker, error event or broken connection breaks the promise.
func readStream(b io.Reader, q question) (reply, error) {
	var text strings.Builder
	version := ""
	r := stream.NewReader(b)
	for {
		ev, err := r.Next()
		if err == io.EOF {
			return reply{}, eris.Wrapf(errShortAnswer, "%q after %q", q.prompt, text.String())
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
	return reply{whole: true}, nil
}

// text is the prompt as engines see it.
func (q question) text() string {
	r := infer.Request{Messages: []infer.Message{{Role: "user", Content: q.prompt}}}
	return r.Prompt()
}
