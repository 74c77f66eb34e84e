package gates

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// network connects listeners and dialers in memory. Connections can become silent: data
// written to them is lost, and neither end learns that the other end closed.
type network struct {
	latency time.Duration

	mu              sync.Mutex
	listeners       map[string]*listener
	links           []*link
	blocked         map[string]bool // addresses whose packets are lost
	connectionCount map[string]int  // number of connections opened to an address
}

func newNetwork(latency time.Duration) *network {
	return &network{
		latency:         latency,
		listeners:       make(map[string]*listener),
		blocked:         make(map[string]bool),
		connectionCount: make(map[string]int),
	}
}

// listen accepts connections at an address.
func (n *network) listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, address: address, queue: make(chan net.Conn, 256), done: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// dial opens a connection between two addresses.
func (n *network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	select {
	case <-time.After(2 * n.latency):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	l, lost := n.listeners[to], n.blocked[to] || n.blocked[from]
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	k := newLink(n.latency, from, to)
	select {
	case l.queue <- k.server:
		if l.closed() {
			l.closeQueued()
		}
	case <-l.done:
		return nil, syscall.ECONNREFUSED
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links = append(n.links, k)
	n.connectionCount[to]++
	return k.client, nil
}

// direction is the direction in which a connection loses data.
type direction int

const (
	bothWays direction = iota
	toServer
	toClient
)

// silence makes the existing connections to an address lose all data, in one direction or
// both. New connections work.
func (n *network) silence(to string, d direction) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, k := range n.links {
		if k.to == to {
			k.silence(d)
			count++
		}
	}
	return count
}

// block drops all packets to and from an address.
func (n *network) block(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[address] = true
	for _, k := range n.links {
		if k.to == address || k.from == address {
			k.silence(bothWays)
		}
	}
}

// kill removes the listener and resets the connections of a process.
func (n *network) kill(address string) {
	n.mu.Lock()
	l := n.listeners[address]
	delete(n.listeners, address)
	links := n.links
	n.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	for _, k := range links {
		if k.to == address || k.from == address {
			k.reset()
		}
	}
}

// listener accepts the connections to an address.
type listener struct {
	network *network
	address string
	queue   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	l.closeQueued()
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	return nil
}

// closeQueued closes connections that were not accepted.
func (l *listener) closeQueued() {
	for {
		select {
		case c := <-l.queue:
			_ = c.Close()
		default:
			return
		}
	}
}

// closed reports whether the listener is closed.
func (l *listener) closed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

func (l *listener) Addr() net.Addr { return address(l.address) }

// address is a net.Addr.
type address string

func (address) Network() string  { return "memory" }
func (a address) String() string { return string(a) }
