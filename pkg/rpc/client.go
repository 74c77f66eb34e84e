package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	dialTimeout  = 500 * time.Millisecond
	pingInterval = 500 * time.Millisecond
	pingTimeout  = 1500 * time.Millisecond
	// idleTimeout is the time without calls after which a client closes its connection. The next call
	// opens another one.
	idleTimeout = 5 * time.Second
)

// DialFunc opens a connection to host:port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialTCP returns a DialFunc for TCP, with TLS unless config is nil.
func DialTCP(config *tls.Config) DialFunc {
	d := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, address string) (net.Conn, error) {
		if config == nil {
			return d.DialContext(ctx, "tcp", address)
		}
		t := &tls.Dialer{NetDialer: d, Config: config}
		return t.DialContext(ctx, "tcp", address)
	}
}

// Client calls methods of one server. It connects on first use and reconnects after a failure.
type Client struct {
	address string
	dial    DialFunc
	created time.Time
	ctx     context.Context // context of dials; cancelled by Close
	cancel  context.CancelFunc

	calls    atomic.Int64 // in progress
	calledAt atomic.Int64 // end of the last call, in nanoseconds since created

	withoutPings bool
	maxMessage   int // bytes; 0: maxMessageBytes

	mu      sync.Mutex
	conn    *jsonrpc2.Conn
	heard   *heardConn   // of conn
	dialing *pendingDial // nil if no dial is in progress
	closed  bool
}

// pendingDial is a dial in progress, for which any number of calls may wait.
type pendingDial struct {
	done chan struct{} // closed when the dial has ended
	conn *jsonrpc2.Conn
	err  error
}

// ClientOption changes how a client works.
type ClientOption func(*Client)

// WithoutPings is for a client that always has a call in progress. It sends no pings; a call that gets
// no answer in time on a silent connection drops that.
func WithoutPings() ClientOption { return func(c *Client) { c.withoutPings = true } }

// WithMaxReply makes the client drop a connection that announces a larger message, in bytes.
func WithMaxReply(bytes int) ClientOption { return func(c *Client) { c.maxMessage = bytes } }

// NewClient returns a client for a server's host:port.
func NewClient(address string, dial DialFunc, options ...ClientOption) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{address: address, dial: dial, created: time.Now(), ctx: ctx, cancel: cancel}
	for _, o := range options {
		o(c)
	}
	return c
}

// Address returns the server's host:port.
func (c *Client) Address() string { return c.address }

// Call sends a request and waits for its result. An error returned by the server is a
// *jsonrpc2.Error. Other errors are ErrNotSent, ErrNoReply or ErrClosed.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	defer c.beginCall()()
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	began := time.Now()
	err = conn.Call(ctx, method, params, result)
	if err != nil && c.withoutPings && eris.Is(err, context.DeadlineExceeded) {
		c.dropSilent(conn, began)
	}
	return c.convertError(conn, err)
}

// Notify sends a notification. It does not report whether the server received it.
func (c *Client) Notify(ctx context.Context, method string, params any) error {
	defer c.beginCall()()
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	return c.convertError(conn, conn.Notify(ctx, method, params))
}

// beginCall counts a call until the returned function is called.
func (c *Client) beginCall() (end func()) {
	c.calls.Add(1)
	return func() {
		c.calledAt.Store(int64(time.Since(c.created)))
		c.calls.Add(-1)
	}
}

// closeIdle closes the connection if no call was in progress for idleTimeout, and reports whether it
// did.
func (c *Client) closeIdle(conn *jsonrpc2.Conn) bool {
	c.mu.Lock()
	// Calls are counted before they get the connection under the lock.
	idle := c.calls.Load() == 0 && time.Since(c.created)-time.Duration(c.calledAt.Load()) > idleTimeout
	if idle && c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	if idle {
		_ = conn.Close()
	}
	return idle
}

func (c *Client) convertError(conn *jsonrpc2.Conn, err error) error {
	if err == nil {
		return nil
	}
	var coded *jsonrpc2.Error
	if eris.As(err, &coded) {
		return coded
	}
	if eris.Is(err, context.Canceled) || eris.Is(err, context.DeadlineExceeded) {
		return eris.Wrap(ErrNoReply, err.Error())
	}
	c.dropConn(conn)
	return eris.Wrap(ErrNoReply, err.Error())
}

// connect returns the current connection, or opens one. Concurrent calls share one dial; each
// waits for it until its own context ends.
func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, ErrClosed
	}
	if c.conn != nil {
		defer c.mu.Unlock()
		return c.conn, nil
	}
	if c.dialing == nil {
		c.dialing = &pendingDial{done: make(chan struct{})}
		go c.runDial(c.dialing)
	}
	d := c.dialing
	c.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, eris.Wrapf(ErrNotSent, "dial %s: %v", c.address, ctx.Err())
	}
}

// runDial executes one dial.
func (c *Client) runDial(d *pendingDial) {
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, c.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(d.done)
	c.dialing = nil
	switch {
	case err != nil:
		d.err = eris.Wrapf(ErrNotSent, "dial %s: %v", c.address, err)
		return
	case c.closed:
		_ = raw.Close()
		d.err = ErrClosed
		return
	}
	heard := newHeardConn(raw)
	stream := jsonrpc2.NewBufferedStream(heard, codec{most: c.maxMessage})
	d.conn = jsonrpc2.NewConn(context.Background(), stream, noHandler{}, jsonrpc2.SetLogger(connLogger{}))
	c.conn, c.heard = d.conn, heard
	go c.monitor(d.conn, heard)
}

// monitor pings a connection on which nothing arrived since the last check, and drops it when it ends,
// does not answer in time or is idle.
func (c *Client) monitor(conn *jsonrpc2.Conn, heard *heardConn) {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	checked := time.Now()
	for {
		select {
		case <-conn.DisconnectNotify():
			c.dropConn(conn)
			return
		case <-tick.C:
		}
		if c.closeIdle(conn) {
			return
		}
		if c.withoutPings || !heard.silentSince(checked) {
			checked = time.Now()
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		err := conn.Call(ctx, pingMethod, struct{}{}, nil)
		cancel()
		if err != nil {
			c.dropConn(conn)
			return
		}
		checked = time.Now() // the answer to the ping does not count
	}
}

// dropSilent drops a connection on which nothing has arrived after a time.
func (c *Client) dropSilent(conn *jsonrpc2.Conn, since time.Time) {
	c.mu.Lock()
	silent := c.conn == conn && c.heard.silentSince(since)
	c.mu.Unlock()
	if silent {
		c.dropConn(conn)
	}
}

func (c *Client) dropConn(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// Close closes the connection. Later calls fail with ErrClosed.
func (c *Client) Close() {
	c.cancel()
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.closed = true
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// noHandler ignores requests from the server.
type noHandler struct{}

// Handle implements jsonrpc2.Handler.
func (noHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
