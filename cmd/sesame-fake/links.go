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

// peerTimeout bounds a dial to another member.
const peerTimeout = 500 * time.Millisecond

// linkFlags name the certificate that an upstream shows to gates.
type linkFlags struct {
	TLSCert string `name:"tls-cert" help:"Certificate of this upstream, PEM; without one, announcements are plain." type:"path" and:"tls"`
	TLSKey  string `name:"tls-key" help:"Key of the certificate, PEM." type:"path" and:"tls"`
	TLSCA   string `name:"tls-ca" help:"Authority of the deployment, PEM." type:"path" and:"tls"`
}

// dialFunc opens a connection to host:port.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialGates returns a function that connects to gates.
func (f *linkFlags) dialGates() (dialFunc, error) {
	links, err := access.NewTransport(settings.TLS{Cert: f.TLSCert, Key: f.TLSKey, CA: f.TLSCA}, nil)
	if err != nil {
		return nil, err
	}
	return links.Dial(access.Gate), nil
}

// gatesOr connects to gates by dialGates and to all else plainly.
func gatesOr(gates []string, dialGates dialFunc) func(network, address string) (net.Conn, error) {
	plain := &net.Dialer{Timeout: peerTimeout}
	return func(network, address string) (net.Conn, error) {
		if slices.Contains(gates, address) {
			return dialGates(context.Background(), address)
		}
		return plain.Dial(network, address)
	}
}

// announcer returns a client that posts announcements to gates.
func announcer(dialGates dialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return dialGates(ctx, address) },
	}}
}
