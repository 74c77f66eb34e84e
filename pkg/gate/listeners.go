package gate

import (
	"net"

	"github.com/rotisserie/eris"
	"golang.org/x/net/netutil"

	"github.com/sesamemux/sesamemux/pkg/access"
)

// Listeners holds the listeners of a gate's ports.
type Listeners struct {
	Callers   net.Listener
	Peers     net.Listener
	Upstreams net.Listener
	RPC       net.Listener
}

// Addresses holds the host:port addresses of a gate's ports.
type Addresses struct {
	Callers, Peers, Upstreams, RPC string
}

// Listen opens all ports, or none. The callers' port is plain TCP. The ports for peers and
// upstreams accept only certificates of their role. The RPC port accepts every role, as its
// server authorises each call.
func Listen(a Addresses, maxConnections int, links *access.Transport) (Listeners, error) {
	var l Listeners
	for _, p := range []struct {
		address string
		to      *net.Listener
		open    func(address string) (net.Listener, error)
	}{
		{a.Callers, &l.Callers, listenPlain},
		{a.Peers, &l.Peers, listenTLS(links, access.Gate)},
		{a.Upstreams, &l.Upstreams, listenTLS(links, access.Upstream)},
		{a.RPC, &l.RPC, listenTLS(links)},
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

func listenTLS(l *access.Transport, roles ...access.Role) func(string) (net.Listener, error) {
	return func(address string) (net.Listener, error) { return l.Listen(address, roles...) }
}

// Close closes all open listeners.
func (l Listeners) Close() {
	for _, open := range []net.Listener{l.Callers, l.Peers, l.Upstreams, l.RPC} {
		if open != nil {
			_ = open.Close()
		}
	}
}
