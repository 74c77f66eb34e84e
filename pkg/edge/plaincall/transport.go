package plaincall

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
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
	// maxInterimResponses limits the 1xx responses before the final one.
	maxInterimResponses = 8
	// maxHeadBytes limits the headers of a call's responses, interim ones included.
	maxHeadBytes = 128 << 10
)

// DialFunc opens a connection to host:port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Transport calls plain services. It is safe for concurrent use.
type Transport struct {
	dial     DialFunc
	pooled   *http.Transport
	unpooled *http.Transport // opens a new connection for each call
}

// New returns a transport. If dial is nil, it opens TCP connections.
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

			MaxResponseHeaderBytes: maxHeadBytes,
		},
		unpooled: &http.Transport{
			DialContext:        dial,
			DisableCompression: true,
			DisableKeepAlives:  true,

			MaxResponseHeaderBytes: maxHeadBytes,
		},
	}
}

// transportFor returns the transport for a call that may be repeated. It pools
// connections only for GET, HEAD and requests with a body: on a reused connection
// net/http resends a request without a body by itself if it carries an idempotency
// key, whatever its method.
func (t *Transport) transportFor(r *http.Request) *http.Transport {
	if r.Body != nil || r.Method == http.MethodGet || r.Method == http.MethodHead {
		return t.pooled
	}
	return t.unpooled
}

// Close closes idle connections.
func (t *Transport) Close() { t.pooled.CloseIdleConnections() }

// DoOnce sends a request at most once. It calls check after connecting, immediately
// before the first byte; an error from check cancels the call. At most maxBody bytes
// of the response body are kept, the rest is only counted. The context applies to
// the whole call. A failure is returned as *CallError.
func (t *Transport) DoOnce(ctx context.Context, r *Request, check func() error, maxBody int64) (*Response, error) {
	raw, err := t.dial(ctx, "tcp", r.Address)
	if err != nil {
		return nil, newCallError(outcome.NotRun, StepDial, err)
	}
	conn := &countingConn{Conn: raw}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := check(); err != nil {
		return nil, newCallError(outcome.NotRun, StepCheck, err)
	}
	if err := ctx.Err(); err != nil {
		return nil, newCallError(outcome.NotRun, StepCheck, err)
	}
	req := r.httpRequest()
	req.Close = true
	if err := req.Write(conn); err != nil {
		return nil, newCallError(writeFailureOutcome(conn), StepWrite, err)
	}
	a, err := readResponse(conn, req, maxBody)
	if err != nil {
		return nil, newCallError(outcome.Unknown, StepRead, err)
	}
	return a, nil
}

func writeFailureOutcome(c *countingConn) outcome.Outcome {
	if c.bytesWritten == 0 {
		return outcome.NotRun
	}
	return outcome.Unknown
}

func newCallError(o outcome.Outcome, s Step, err error) *CallError {
	var n net.Error
	timeout := errors.Is(err, context.DeadlineExceeded) || errors.As(err, &n) && n.Timeout()
	return &CallError{Outcome: o, Step: s, Timeout: timeout, Err: err}
}

// readResponse skips interim responses and reads the final one to its end.
func readResponse(conn net.Conn, req *http.Request, maxBody int64) (*Response, error) {
	limited := &io.LimitedReader{R: conn, N: maxHeadBytes}
	in := bufio.NewReader(limited)
	for range maxInterimResponses {
		resp, err := http.ReadResponse(in, req)
		if err != nil {
			return nil, eris.Wrap(err, "read response")
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		limited.N = math.MaxInt64
		defer resp.Body.Close()
		return readBody(resp, maxBody)
	}
	return nil, ErrTooManyInterimResponses
}

func readBody(resp *http.Response, maxBody int64) (*Response, error) {
	if isUnframed(resp) {
		return nil, ErrUnframed
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return nil, eris.Wrap(err, "read response body")
	}
	rest, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		return nil, eris.Wrap(err, "read response body")
	}
	return &Response{
		Status: resp.StatusCode,
		Header: EndToEndHeader(resp.Header),
		Body:   body,
		Size:   int64(len(body)) + rest,
	}, nil
}

// isUnframed reports whether only the end of the connection marks the end of the body.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Do sends a call that may be repeated and returns the response, whose body the caller
// must read and close. Only a GET or HEAD without a body may be resent, when a reused
// connection fails. A failure is returned as *CallError.
func (t *Transport) Do(ctx context.Context, r *Request, check func() error) (*http.Response, error) {
	if err := check(); err != nil {
		return nil, newCallError(outcome.NotRun, StepCheck, err)
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req := r.httpRequest().WithContext(httptrace.WithClientTrace(ctx, trace))
	resp, err := t.transportFor(req).RoundTrip(req)
	switch {
	case err == nil:
		return resp, nil
	case connected:
		return nil, newCallError(outcome.Unknown, StepRead, err)
	}
	return nil, newCallError(outcome.NotRun, StepDial, err)
}
