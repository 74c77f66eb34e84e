package memconn

import (
	"net"
	"sync"
)

// acceptQueue is the maximum number of connections waiting to be accepted.
const acceptQueue = 1024

// listener accepts connections to one address.
type listener struct {
	network *Network
	host    string
	address string
	queue   chan *conn
	done    chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Connections that were not accepted are reset.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.resetQueued()
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

func (l *listener) closed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// resetQueued resets the connections waiting to be accepted.
func (l *listener) resetQueued() {
	for {
		select {
		case c := <-l.queue:
			c.reset()
		default:
			return
		}
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

// addr is a host:port of the in-memory network.
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "mem" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }
