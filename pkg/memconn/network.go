package memconn

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// way is one direction between two hosts.
type way struct {
	from, to string
}

// Network joins hosts. It is safe for concurrent use.
type Network struct {
	latency time.Duration // one way

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced when a way is cut or healed
	cut       map[way]struct{}
	listeners map[string]*listener
	conns     map[*conn]struct{}
}

// New returns a network without listeners whose messages take latency.
func New(latency time.Duration) *Network {
	return &Network{
		latency:   latency,
		changed:   make(chan struct{}),
		cut:       make(map[way]struct{}),
		listeners: make(map[string]*listener),
		conns:     make(map[*conn]struct{}),
	}
}

// Cut makes the way from one host to another carry nothing.
func (n *Network) Cut(from, to string) {
	n.set(func() { n.cut[way{from, to}] = struct{}{} })
}

// Heal makes the way carry again what waits and what comes.
func (n *Network) Heal(from, to string) {
	n.set(func() { delete(n.cut, way{from, to}) })
}

// Partition cuts both ways between every host of a and every host of b.
func (n *Network) Partition(a, b []string) {
	for _, x := range a {
		for _, y := range b {
			n.Cut(x, y)
			n.Cut(y, x)
		}
	}
}

// HealAll heals every way.
func (n *Network) HealAll() {
	n.set(func() { clear(n.cut) })
}

func (n *Network) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

// state tells whether a way is cut, and returns a channel that is closed at
// the next change.
func (n *Network) state(w way) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, cut := n.cut[w]
	return cut, n.changed
}

// Kill resets all connections of a host and closes its listeners, as the end
// of its process does.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var conns []*conn
	for c := range n.conns {
		if c.out.from == host || c.out.to == host {
			conns = append(conns, c)
		}
	}
	var closing []*listener
	for _, l := range n.listeners {
		if l.host == host {
			closing = append(closing, l)
		}
	}
	n.mu.Unlock()
	for _, l := range closing {
		_ = l.Close()
	}
	for _, c := range conns {
		c.reset()
	}
}

// Listen takes connections to an address on a host.
func (n *Network) Listen(host, address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{
		network: n,
		host:    host,
		address: address,
		queue:   make(chan *conn, acceptQueue),
		done:    make(chan struct{}),
	}
	n.listeners[address] = l
	return l
}

// Dialer returns the dial function of a host.
func (n *Network) Dialer(host string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return n.dial(ctx, host, address)
	}
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	n.mu.Unlock()
	if !ok {
		// Which host has the address is not known; it answers at once.
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: syscall.ECONNREFUSED}
	}
	if err := n.handshake(ctx, from, l.host); err != nil {
		return nil, err
	}
	here, there := n.pair(from, l.host, address)
	select {
	case l.queue <- there:
		if l.closed() {
			l.resetQueued()
		}
		return here, nil
	case <-l.done:
		here.reset()
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		here.reset()
		return nil, ctx.Err()
	}
}

// handshake waits until a message has gone there and back.
func (n *Network) handshake(ctx context.Context, from, to string) error {
	for _, w := range []way{{from, to}, {to, from}} {
		for {
			cut, changed := n.state(w)
			if !cut {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	select {
	case <-time.After(2 * n.latency):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
