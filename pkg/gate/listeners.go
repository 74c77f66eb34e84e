package gate

import (
	"net"

	"github.com/rotisserie/eris"
	"golang.org/x/net/netutil"

	"github.com/sesamemux/sesamemux/pkg/access"
)

// Listeners are the ports of a gate.
type Listeners struct {
	Callers   net.Listener
	Peers     net.Listener
	Upstreams net.Listener
	RPC       net.Listener
}

// Addresses are the host:port pairs that a gate listens on.
type Addresses struct {
	Callers, Peers, Upstreams, RPC string
}

// Listen opens all ports, or none. Callers need no certificate of ours, other
// gates and upstreams one in their role; the RPC port takes every role, and the
// server behind it asks what each may call.
func Listen(a Addresses, maxConnections int, links *access.Transport) (Listeners, error) {
	var l Listeners
	for _, p := range []struct {
		address string
		to      *net.Listener
		open    func(address string) (net.Listener, error)
	}{
		{a.Callers, &l.Callers, listenPlain},
		{a.Peers, &l.Peers, listenTo(links, access.Gate)},
		{a.Upstreams, &l.Upstreams, listenTo(links, access.Upstream)},
		{a.RPC, &l.RPC, listenTo(links)},
	} {
		opened, err := p.open(p.address)
		if err != nil {
			l.Close()
			return Listeners{}, eris.Wrap(err, "listen")
		}
		*p.to = opened
	}
	l.Callers = netutil.LimitListener(l.Callers, maxConnections)
	return l, nil
}

func listenPlain(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func listenTo(l *access.Transport, roles ...access.Role) func(string) (net.Listener, error) {
	return func(address string) (net.Listener, error) { return l.Listen(address, roles...) }
}

// Close closes the ports that are open.
func (l Listeners) Close() {
	for _, open := range []net.Listener{l.Callers, l.Peers, l.Upstreams, l.RPC} {
		if open != nil {
			_ = open.Close()
		}
	}
}
