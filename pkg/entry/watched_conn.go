package entry

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// watchedConn is a new connection to an upstream that tells whether it carries anything.
type watchedConn struct {
	net.Conn
	carried func() // its first bytes have arrived
	failed  func() // it broke, or nothing has arrived in time

	settled atomic.Bool // carried or failed was called, or it was closed before
	slow    *time.Timer
}

func newWatchedConn(c net.Conn, limit time.Duration, carried, failed func()) *watchedConn {
	w := &watchedConn{Conn: c, carried: carried, failed: failed}
	w.slow = time.AfterFunc(limit, failed)
	return w
}

// NetConn returns the connection that is watched.
func (w *watchedConn) NetConn() net.Conn { return w.Conn }

// Read implements net.Conn.
func (w *watchedConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	switch {
	case n > 0:
		w.settle(w.carried)
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		w.settle(w.failed)
	}
	return n, err
}

// Write implements net.Conn.
func (w *watchedConn) Write(b []byte) (int, error) {
	n, err := w.Conn.Write(b)
	if err != nil {
		w.settle(w.failed)
	}
	return n, err
}

// Close implements net.Conn.
func (w *watchedConn) Close() error {
	w.settle(func() {})
	return w.Conn.Close()
}

// settle calls then, unless the connection has been settled before.
func (w *watchedConn) settle(then func()) {
	if !w.settled.Swap(true) {
		w.slow.Stop()
		then()
	}
}
