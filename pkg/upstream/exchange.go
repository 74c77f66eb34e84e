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

// Response is an answer whose body is still to be read.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Framed says that the body has a length or comes in chunks; otherwise it
	// ends with the connection.
	Framed bool

	pool *Pool
	conn *conn
	res  *http.Response
	stop func() bool
	once sync.Once
	full bool // the body was read to its end
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Do sends a request and returns the head of its answer. When ctx ends the
// connection is closed, also while the body is read.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.get(ctx, r)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.close)
	if err := p.send(c, r); err != nil {
		stop()
		c.close()
		return nil, err
	}
	c.limit = p.options.FirstByteTimeout
	res, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		stop()
		c.close()
		return nil, broken(ctx, err)
	}
	c.limit = p.options.StallTimeout
	c.keeps = announcedIdle(res.Header)
	framed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	out := &Response{Status: res.StatusCode, Header: res.Header, Framed: framed, pool: p, conn: c, res: res, stop: stop}
	out.Body = &body{ctx: ctx, response: out}
	return out, nil
}

// send writes the request. The first write, with the head, is under the guard.
func (p *Pool) send(c *conn, r *Request) error {
	b := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(b)
	b.Reset()
	r.head(b)
	if len(r.Body) <= smallBody {
		b.Write(r.Body)
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(p.options.WriteTimeout))
	n, err := p.firstWrite(c, r, b.Bytes())
	if err != nil {
		if n == 0 && errors.Is(err, ErrNotSent) {
			return err
		}
		return eris.Wrap(ErrConnectionLost, err.Error())
	}
	if len(r.Body) > smallBody {
		if _, err := c.raw.Write(r.Body); err != nil {
			return eris.Wrap(ErrConnectionLost, err.Error())
		}
	}
	return nil
}

// smallBody is written together with the head.
const smallBody = 8 << 10

func (p *Pool) firstWrite(c *conn, r *Request, b []byte) (int, error) {
	p.options.SendLock.RLock()
	defer p.options.SendLock.RUnlock()
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			return 0, &BeforeSendError{Cause: err}
		}
	}
	return c.raw.Write(b)
}

func broken(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case os.IsTimeout(err):
		return eris.Wrap(ErrStalled, err.Error())
	default:
		return eris.Wrap(ErrConnectionLost, err.Error())
	}
}

// body reads an answer's body and keeps its errors apart.
type body struct {
	ctx      context.Context
	response *Response
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.response.res.Body.Read(p)
	if err == io.EOF {
		b.response.full = true
		return n, err
	}
	if err != nil {
		return n, broken(b.ctx, err)
	}
	return n, nil
}

// Close gives the connection back if the body was read to its end, and closes
// it otherwise.
func (r *Response) Close() {
	r.once.Do(func() {
		if r.stop() && r.full && !r.res.Close && r.conn.reader.Buffered() == 0 {
			r.pool.put(r.conn)
			return
		}
		r.conn.close()
	})
}
