package memconn

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// direction is a direction between two hosts.
type direction struct {
	from, to string
}

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	latency time.Duration // one way

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced when a direction is cut or healed
	cut       map[direction]struct{}
	opening   map[direction]opening // how new connections fail
	listeners map[string]*listener
	conns     map[*conn]struct{}

	processors map[string]*processor // by host; only hosts whose processor is limited
}

// New returns a network without listeners whose one-way latency is latency.
func New(latency time.Duration) *Network {
	return &Network{
		latency:   latency,
		changed:   make(chan struct{}),
		cut:       make(map[direction]struct{}),
		opening:   make(map[direction]opening),
		listeners: make(map[string]*listener),
		conns:     make(map[*conn]struct{}),

		processors: make(map[string]*processor),
	}
}

// Cut stops delivery from one host to another.
func (n *Network) Cut(from, to string) {
	n.update(func() { n.cut[direction{from, to}] = struct{}{} })
}

// Heal resumes delivery from one host to another, including data written while it was cut.
func (n *Network) Heal(from, to string) {
	n.update(func() { delete(n.cut, direction{from, to}) })
}

// Refuse makes new connections from one host to another fail at once. Open ones are kept.
func (n *Network) Refuse(from, to string) { n.fail(from, to, openingRefused) }

// ResetOnceOpen makes new connections from one host to another open, and resets them at once. Those that
// are open are kept.
func (n *Network) ResetOnceOpen(from, to string) { n.fail(from, to, openingReset) }

// MuteOnceOpen makes new connections from one host to another open without carrying anything, also
// afterwards. Those that are open are kept.
func (n *Network) MuteOnceOpen(from, to string) { n.fail(from, to, openingMute) }

func (n *Network) fail(from, to string, how opening) {
	n.update(func() { n.opening[direction{from, to}] = how })
}

// Accept ends Refuse, ResetOnceOpen and MuteOnceOpen.
func (n *Network) Accept(from, to string) {
	n.update(func() { delete(n.opening, direction{from, to}) })
}

// openingOf returns how new connections from one host to another fail.
func (n *Network) openingOf(d direction) opening {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.opening[d]
}

// ResetBetween resets the open connections that one host opened to another.
func (n *Network) ResetBetween(from, to string) {
	_, conns := n.socketsOf(from)
	for _, c := range conns {
		if c.hosts.from == from && c.hosts.to == to {
			c.reset()
		}
	}
}

// Partition cuts both directions between every host of a and every host of b.
func (n *Network) Partition(a, b []string) {
	for _, x := range a {
		for _, y := range b {
			n.Cut(x, y)
			n.Cut(y, x)
		}
	}
}

// HealAll heals all directions.
func (n *Network) HealAll() {
	n.update(func() { clear(n.cut) })
}

func (n *Network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

// isCut reports whether a direction is cut, and returns a channel that is closed when any direction
// is cut or healed.
func (n *Network) isCut(d direction) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, cut := n.cut[d]
	return cut, n.changed
}

// Kill closes the listeners of a host and resets all its connections, like the end of its process
// while it has not read all that it was sent.
func (n *Network) Kill(host string) {
	listeners, conns := n.socketsOf(host)
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range conns {
		c.reset()
	}
}

// Exit closes the listeners and the connections of a host, like the end of its process once it has
// read all that it was sent. The peers can still read what was written before.
func (n *Network) Exit(host string) {
	listeners, conns := n.socketsOf(host)
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range conns {
		if c.hosts.from == host {
			_ = c.Close()
		}
	}
}

// socketsOf returns the listeners of a host and the open connections from and to it.
func (n *Network) socketsOf(host string) ([]*listener, []*conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var conns []*conn
	for c := range n.conns {
		if c.hosts.from == host || c.hosts.to == host {
			conns = append(conns, c)
		}
	}
	var listeners []*listener
	for _, l := range n.listeners {
		if l.host == host {
			listeners = append(listeners, l)
		}
	}
	return listeners, conns
}

// Listen returns a listener for an address on a host.
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
		// The host of the address is unknown, so the refusal ignores cuts and latency.
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: syscall.ECONNREFUSED}
	}
	how := n.openingOf(direction{from, l.host})
	if how != openingMute { // which a host on the way accepts
		if err := n.handshake(ctx, from, l.host); err != nil {
			return nil, err
		}
	}
	if how == openingRefused {
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: syscall.ECONNREFUSED}
	}
	client, server := n.newPair(from, l.host, address)
	switch how {
	case openingReset:
		client.reset()
		return client, nil
	case openingMute:
		return client, nil
	}
	select {
	case l.queue <- server:
		if l.closed() {
			l.resetQueued()
		}
		return client, nil
	case <-l.done:
		client.reset()
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		client.reset()
		return nil, ctx.Err()
	}
}

// handshake waits as long as a message takes to the other host and back, including cuts.
func (n *Network) handshake(ctx context.Context, from, to string) error {
	for _, d := range []direction{{from, to}, {to, from}} {
		for {
			cut, changed := n.isCut(d)
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
