package once

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

var (
	errRefused        = eris.New("connection refused")
	errListenerClosed = eris.New("listener is closed")
	errProcessDead    = eris.New("the gate's process is dead")
)

// network connects processes by in-memory connections.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

func newNetwork() *network { return &network{listeners: make(map[string]*listener)} }

func (n *network) listen(address string) *listener {
	l := &listener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	n.mu.Unlock()
	if !ok {
		return nil, errRefused
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// listener accepts connections of a network.
type listener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, errListenerClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

// address is an address of a network, such as "g0:1".
type address string

// Network implements net.Addr.
func (address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }
