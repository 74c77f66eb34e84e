package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/serviceproxy"
)

// reasonNoGate is set by the client itself if it could not connect to the gate.
const reasonNoGate outcome.Reason = "no-gate"

// maxAnswer limits the size of an answer, in bytes.
const maxAnswer = 64 << 20

// client sends requests to gates.
type client struct {
	options *Options
	http    *http.Client
}

func newClient(o *Options) *client {
	return &client{
		options: o,
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConns:        o.MaxInFlight,
				MaxIdleConnsPerHost: o.MaxInFlight,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// post sends one request. Its body can't be rewound, so that the HTTP transport
// never retries it.
func (c *client) post(ctx context.Context, x arrival, gate, path string, body []byte, header http.Header) (*http.Response, error) {
	url := "http://" + gate + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Header = header
	req.Header.Set("Content-Type", "application/json")
	if x.organisation.Key != "" {
		req.Header.Set("Authorization", "Bearer "+x.organisation.Key)
	} else {
		req.Header.Set(infer.HeaderOrganisation, x.organisation.Name)
	}
	return c.http.Do(req)
}

// request returns the body of a chat request.
func (c *client) request(x arrival) *infer.Request {
	return &infer.Request{
		Model:     c.options.Model,
		Messages:  []infer.Message{{Role: "user", Content: x.content}},
		Stream:    x.kind == kindStreamed,
		MaxTokens: c.options.MaxTokens,
		Seed:      int64(x.number),
	}
}

// chat sends a chat request once.
func (c *client) chat(ctx context.Context, x arrival, gate string) answer {
	body, err := json.Marshal(c.request(x))
	if err != nil {
		panic(err)
	}
	h := make(http.Header)
	if c.options.Deadline > 0 {
		h.Set(infer.HeaderDeadline, strconv.FormatInt(c.options.Deadline.Milliseconds(), 10))
	}
	resp, err := c.post(ctx, x, gate, infer.Path, body, h)
	if err != nil {
		return transportFailure(err)
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode, outcome: outcome.Outcome(resp.Header.Get(outcome.Header))}
	switch {
	case resp.StatusCode != http.StatusOK:
		readRefusal(resp.Body, &a)
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		err = readStream(resp.Body, &a)
	default:
		err = readCompletion(resp.Body, &a)
	}
	if err == nil && a.complete {
		a.outcome = outcome.Ran
	}
	a.ended = time.Now()
	return a
}

// transportFailure returns the answer for a request without a reply. A request that
// could not connect counts as not run, since a load balancer would have sent it to
// another gate; the outcome of a connection that broke later is unknown.
func transportFailure(err error) answer {
	a := answer{ended: time.Now()}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		a.outcome = outcome.NotRun
		a.reason = reasonNoGate
	}
	return a
}

// readRefusal reads a refusal and ignores a body that isn't one.
func readRefusal(r io.Reader, a *answer) {
	var refused outcome.Refusal
	if json.NewDecoder(io.LimitReader(r, maxAnswer)).Decode(&refused) == nil && refused.Reason != "" {
		a.setRefusal(refused)
	}
}

// readStream reads a streamed chat response up to its end marker.
func readStream(r io.Reader, a *answer) error {
	events := newEventStream(r)
	var text strings.Builder
	last := time.Time{}
	for {
		data, err := events.next()
		if err != nil {
			return eris.Wrap(errTruncated, err.Error())
		}
		if data == infer.DoneMarker {
			a.complete = true
			a.text = text.String()
			return nil
		}
		var failed infer.ErrorEvent
		if json.Unmarshal([]byte(data), &failed) == nil && failed.Error.Reason != "" {
			a.setRefusal(failed.Error)
			return nil
		}
		var chunk infer.Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return eris.Wrap(errBadAnswer, err.Error())
		}
		a.fingerprint = chunk.SystemFingerprint
		for _, choice := range chunk.Choices {
			if choice.Delta.Content == "" {
				continue
			}
			text.WriteString(choice.Delta.Content)
			last = a.recordToken(last)
		}
	}
}

// recordToken counts a token, records its latency and returns its arrival time.
func (a *answer) recordToken(last time.Time) time.Time {
	now := time.Now()
	a.tokens++
	if last.IsZero() {
		a.firstToken = now
	} else {
		a.gaps = append(a.gaps, now.Sub(last))
	}
	return now
}

// readCompletion reads a chat response that is not streamed.
func readCompletion(r io.Reader, a *answer) error {
	var completion infer.Completion
	if err := json.NewDecoder(io.LimitReader(r, maxAnswer)).Decode(&completion); err != nil {
		return eris.Wrap(errTruncated, err.Error())
	}
	if len(completion.Choices) == 0 {
		return errBadAnswer
	}
	a.complete = true
	a.text = completion.Choices[0].Message.Content
	a.fingerprint = completion.SystemFingerprint
	if completion.Usage != nil {
		a.tokens = completion.Usage.CompletionTokens
	}
	return nil
}

// once sends a once-only call once.
func (c *client) once(ctx context.Context, x arrival, gate, request string) answer {
	h := make(http.Header)
	h.Set(c.options.KeyHeader, x.key)
	h.Set(requestHeader, request)
	resp, err := c.post(ctx, x, gate, serviceproxy.PathPrefix+c.options.Service+c.options.OncePath, []byte(x.content), h)
	if err != nil {
		return transportFailure(err)
	}
	defer resp.Body.Close()
	a := answer{
		status:   resp.StatusCode,
		outcome:  outcome.Outcome(resp.Header.Get(outcome.Header)),
		replayed: resp.Header.Get(serviceproxy.HeaderReplayed) != "",
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	a.ended = time.Now()
	if err != nil {
		return answer{ended: a.ended}
	}
	a.text = string(body)
	a.complete = true
	if a.status >= http.StatusBadRequest {
		readRefusal(bytes.NewReader(body), &a)
	}
	return a
}
