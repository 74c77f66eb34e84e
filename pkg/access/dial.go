package access

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/rotisserie/eris"
)

// dialFunc connects to host:port.
type dialFunc = func(ctx context.Context, address string) (net.Conn, error)

// dialTCP opens a plain TCP connection.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// DialOver is like Dial, but uses TLS over the connections that inner opens.
func (s *CertificateSource) DialOver(inner dialFunc, roles ...Role) dialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, eris.Wrap(err, "address")
		}
		conn, err := inner(ctx, address)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		tlsConn := tls.Client(conn, s.clientConfig(host, roles))
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, eris.Wrap(err, "TLS handshake")
		}
		return tlsConn, nil
	}
}
