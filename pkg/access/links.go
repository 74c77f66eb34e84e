package access

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/settings"
)

// handshakeTimeout bounds a handshake, so that a silent client holds no
// connection for long.
const handshakeTimeout = 5 * time.Second

// Transport opens the connections of one process: under mutual TLS when its
// settings say so, else plain.
type Transport struct {
	source *CertificateSource // nil: plain
}

// NewTransport reads the files that the settings name. failed is told when files
// that changed later could not be read; it may be nil.
func NewTransport(t settings.TLS, failed func(error)) (*Transport, error) {
	if !t.Enabled() {
		return &Transport{}, nil
	}
	s, err := NewCertificateSource(SourceOptions{Files: Files{Cert: t.Cert, Key: t.Key, CA: t.CA}, OnReloadError: failed})
	if err != nil {
		return nil, err
	}
	return &Transport{source: s}, nil
}

// TLSEnabled tells whether connections are under mutual TLS.
func (l *Transport) TLSEnabled() bool { return l.source != nil }

// Listen takes connections at IP:port, under TLS from holders of the roles
// alone; no roles stand for all.
func (l *Transport) Listen(address string, roles ...Role) (net.Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	if l.source == nil {
		return inner, nil
	}
	return tls.NewListener(boundedListener{inner}, l.source.ServerConfig(roles...)), nil
}

// Dial returns a function that connects to servers in the roles; no roles
// stand for all. It fits rpc.DialFunc.
func (l *Transport) Dial(roles ...Role) dialFunc { return l.DialOver(dialTCP, roles...) }

// DialOver returns a function that connects as Dial's does, over connections that
// inner opens.
func (l *Transport) DialOver(inner dialFunc, roles ...Role) dialFunc {
	if l.source == nil {
		return inner
	}
	return l.source.DialOver(inner, roles...)
}

// CheckIdentity tells whether the process's own certificate is of a role, a
// deployment and a name, "" for any name. Plain links hold no certificate.
func (l *Transport) CheckIdentity(role Role, cluster, name string) error {
	if l.source == nil {
		return nil
	}
	id := l.source.Identity()
	if id.Role != role || id.Cluster != cluster || name != "" && id.Name != name {
		return eris.Wrapf(ErrWrongOwnCertificate, "it is of %s in %s, and this is %s/%s in %s", id, id.Cluster, role, orAny(name), cluster)
	}
	return nil
}

func orAny(name string) string {
	if name == "" {
		return "*"
	}
	return name
}

// Authorize tells whether the other end of a connection may call a method. On
// plain links everyone may: the settings allow them on loopback or by
// allow_plain alone. It implements rpc.Authorizer.
func (l *Transport) Authorize(ctx context.Context, c net.Conn, method string) error {
	if l.source == nil {
		return nil
	}
	id, err := Peer(ctx, c)
	if err != nil {
		return denied(err.Error())
	}
	return Authorize(id, control.Method(method))
}

// boundedListener sets a deadline for the handshake; the TLS configuration
// lifts it afterwards.
type boundedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l boundedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return c, c.SetDeadline(time.Now().Add(handshakeTimeout))
}
