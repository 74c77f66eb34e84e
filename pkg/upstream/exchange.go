package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Response is a response whose body has not been read yet. The caller must close it.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Framed reports whether the body has a Content-Length or is chunked, or there is
	// none. Otherwise it ends when the connection closes.
	Framed bool

	pool       *Pool
	conn       *conn
	res        *http.Response
	stopCancel func() bool
	closeOnce  sync.Once
	bodyRead   bool // the body was read to the end
}

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Do sends a request and returns once the response header has arrived. When ctx ends,
// the connection is closed, even while the body is being read.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.getAnswering(ctx, r)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.close)
	if err := p.send(c, r); err != nil {
		stop()
		c.close()
		return nil, err
	}
	c.readTimeout = p.options.FirstByteTimeout
	res, err := c.readHead(r.Method)
	if err != nil {
		stop()
		c.close()
		return nil, classifyReadError(ctx, err)
	}
	c.readTimeout = p.options.StallTimeout
	c.announcedIdle = keepAliveTimeout(res.Header)
	framed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0 || res.Body == http.NoBody
	out := &Response{Status: res.StatusCode, Header: res.Header, Framed: framed, pool: p, conn: c, res: res, stopCancel: stop}
	out.Body = &responseBody{ctx: ctx, response: out}
	return out, nil
}

// send writes the request. Its first write, with the header, holds the send lock.
func (p *Pool) send(c *conn, r *Request) error {
	b := bufferPool.Get().(*bytes.Buffer)
	defer bufferPool.Put(b)
	b.Reset()
	r.head(b)
	if len(r.Body) <= maxCoalescedBody {
		b.Write(r.Body)
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(p.options.WriteTimeout))
	n, err := p.writeFirst(c, r, b.Bytes())
	if err != nil {
		if n == 0 && errors.Is(err, ErrNotSent) {
			return err
		}
		return &InterruptedSendError{Cause: err}
	}
	if len(r.Body) > maxCoalescedBody {
		if _, err := c.raw.Write(r.Body); err != nil {
			return &InterruptedSendError{Cause: err}
		}
	}
	return nil
}

// maxCoalescedBody is the largest body, in bytes, written together with the header.
const maxCoalescedBody = 8 << 10

func (p *Pool) writeFirst(c *conn, r *Request, b []byte) (int, error) {
	p.options.SendLock.RLock()
	defer p.options.SendLock.RUnlock()
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			return 0, &BeforeSendError{Cause: err}
		}
	}
	return c.raw.Write(b)
}

func classifyReadError(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case os.IsTimeout(err):
		return eris.Wrap(ErrStalled, err.Error())
	default:
		return eris.Wrap(ErrConnectionLost, err.Error())
	}
}

// responseBody reads the body of a response and classifies its errors.
type responseBody struct {
	ctx      context.Context
	response *Response
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.response.res.Body.Read(p)
	if err == io.EOF {
		b.response.bodyRead = true
		return n, err
	}
	if err != nil {
		return n, classifyReadError(b.ctx, err)
	}
	return n, nil
}

// Close returns the connection to the pool if the body was read to the end, and closes
// it otherwise.
func (r *Response) Close() {
	r.closeOnce.Do(func() {
		if r.stopCancel() && r.bodyRead && !r.res.Close && r.conn.reader.Buffered() == 0 {
			r.pool.putIdle(r.conn)
			return
		}
		r.conn.close()
	})
}
