package plaincall

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

const (
	dialTimeout    = 2 * time.Second
	idleTimeout    = 30 * time.Second
	maxIdlePerHost = 32
	// maxInterim bounds the 1xx answers before the final one.
	maxInterim = 8
)

// DialFunc opens a connection to host:port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Transport calls plain services. It is safe for concurrent use.
type Transport struct {
	dial   DialFunc
	pooled *http.Transport
	single *http.Transport // one connection for each call
}

// New returns a transport. A nil dial opens TCP connections.
func New(dial DialFunc) *Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Transport{
		dial: dial,
		pooled: &http.Transport{
			DialContext:         dial,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     idleTimeout,
		},
		single: &http.Transport{
			DialContext:        dial,
			DisableCompression: true,
			DisableKeepAlives:  true,
		},
	}
}

// pool returns the transport for a call that may be repeated. On a reused
// connection net/http resends a call without a body by itself if it carries
// an idempotency key, whatever its method.
func (t *Transport) pool(r *http.Request) *http.Transport {
	if r.Body != nil || r.Method == http.MethodGet || r.Method == http.MethodHead {
		return t.pooled
	}
	return t.single
}

// Close ends idle connections.
func (t *Transport) Close() { t.pooled.CloseIdleConnections() }

// DoOnce sends a request at most once. The check is called when the connection
// stands, right before the first byte; its error forbids the call. At most
// maxBody bytes of the answer's body are kept, the rest is counted. The
// context bounds the whole call. A failure comes as *CallError.
func (t *Transport) DoOnce(ctx context.Context, r *Request, check func() error, maxBody int64) (*Response, error) {
	raw, err := t.dial(ctx, "tcp", r.Address)
	if err != nil {
		return nil, failure(outcome.NotRun, StepDial, err)
	}
	conn := &countedConn{Conn: raw}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := check(); err != nil {
		return nil, failure(outcome.NotRun, StepCheck, err)
	}
	if err := ctx.Err(); err != nil {
		return nil, failure(outcome.NotRun, StepCheck, err)
	}
	req := r.http()
	req.Close = true
	if err := req.Write(conn); err != nil {
		return nil, failure(writtenOutcome(conn), StepWrite, err)
	}
	a, err := readAnswer(conn, req, maxBody)
	if err != nil {
		return nil, failure(outcome.Unknown, StepRead, err)
	}
	return a, nil
}

func writtenOutcome(c *countedConn) outcome.Outcome {
	if c.written == 0 {
		return outcome.NotRun
	}
	return outcome.Unknown
}

func failure(o outcome.Outcome, s Step, err error) *CallError {
	var n net.Error
	timeout := errors.Is(err, context.DeadlineExceeded) || errors.As(err, &n) && n.Timeout()
	return &CallError{Outcome: o, Step: s, Timeout: timeout, Err: err}
}

// readAnswer reads the final answer to its end.
func readAnswer(conn net.Conn, req *http.Request, maxBody int64) (*Response, error) {
	in := bufio.NewReader(conn)
	for range maxInterim {
		resp, err := http.ReadResponse(in, req)
		if err != nil {
			return nil, eris.Wrap(err, "read answer")
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		defer resp.Body.Close()
		return readBody(resp, maxBody)
	}
	return nil, ErrTooManyInterimResponses
}

func readBody(resp *http.Response, maxBody int64) (*Response, error) {
	if unframed(resp) {
		return nil, ErrUnframed
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return nil, eris.Wrap(err, "read answer's body")
	}
	rest, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		return nil, eris.Wrap(err, "read answer's body")
	}
	return &Response{
		Status: resp.StatusCode,
		Header: EndToEndHeader(resp.Header),
		Body:   body,
		Size:   int64(len(body)) + rest,
	}, nil
}

// unframed tells whether only the end of the connection ends the body.
func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Do sends a call that may be repeated and returns the answer with its body to
// be read and closed. Only a GET or HEAD without a body may be sent a second
// time, when a reused connection fails. A failure comes as *CallError.
func (t *Transport) Do(ctx context.Context, r *Request, check func() error) (*http.Response, error) {
	if err := check(); err != nil {
		return nil, failure(outcome.NotRun, StepCheck, err)
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req := r.http().WithContext(httptrace.WithClientTrace(ctx, trace))
	resp, err := t.pool(req).RoundTrip(req)
	switch {
	case err == nil:
		return resp, nil
	case connected:
		return nil, failure(outcome.Unknown, StepRead, err)
	}
	return nil, failure(outcome.NotRun, StepDial, err)
}
