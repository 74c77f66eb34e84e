package gate

import (
	"net"

	"github.com/rotisserie/eris"
	"golang.org/x/net/netutil"
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

// Listen opens all ports, or none.
func Listen(a Addresses, maxConnections int) (Listeners, error) {
	var l Listeners
	for _, p := range []struct {
		address string
		to      *net.Listener
	}{
		{a.Callers, &l.Callers},
		{a.Peers, &l.Peers},
		{a.Upstreams, &l.Upstreams},
		{a.RPC, &l.RPC},
	} {
		opened, err := net.Listen("tcp", p.address)
		if err != nil {
			l.Close()
			return Listeners{}, eris.Wrap(err, "listen")
		}
		*p.to = opened
	}
	l.Callers = netutil.LimitListener(l.Callers, maxConnections)
	return l, nil
}

// Close closes the ports that are open.
func (l Listeners) Close() {
	for _, open := range []net.Listener{l.Callers, l.Peers, l.Upstreams, l.RPC} {
		if open != nil {
			_ = open.Close()
		}
	}
}
