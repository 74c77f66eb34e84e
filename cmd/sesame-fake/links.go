package main

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/settings"
)

// peerTimeout limits the time to connect to another member.
const peerTimeout = 500 * time.Millisecond

// tlsFlags are the flags for the certificate that an upstream presents to gates.
type tlsFlags struct {
	TLSCert string `name:"tls-cert" help:"Certificate of this upstream, PEM; without one, announcements use plain TCP." type:"path" and:"tls"`
	TLSKey  string `name:"tls-key" help:"Key of the certificate, PEM." type:"path" and:"tls"`
	TLSCA   string `name:"tls-ca" help:"Authority of the deployment, PEM." type:"path" and:"tls"`
}

// dialFunc opens a connection to host:port.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialGates returns a function that connects to gates.
func (f *tlsFlags) dialGates() (dialFunc, error) {
	links, err := access.NewTransport(settings.TLS{Cert: f.TLSCert, Key: f.TLSKey, CA: f.TLSCA}, nil)
	if err != nil {
		return nil, err
	}
	return links.Dial(access.Gate), nil
}

// dialByAddress connects to gates by dialGates and to other addresses by plain TCP.
func dialByAddress(gates []string, dialGates dialFunc) func(network, address string) (net.Conn, error) {
	plain := &net.Dialer{Timeout: peerTimeout}
	return func(network, address string) (net.Conn, error) {
		if slices.Contains(gates, address) {
			return dialGates(context.Background(), address)
		}
		return plain.Dial(network, address)
	}
}

// announcementClient returns an HTTP client that connects by dialGates.
func announcementClient(dialGates dialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return dialGates(ctx, address) },
	}}
}
