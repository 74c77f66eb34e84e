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

// handshakeTimeout bounds a handshake, so that a client that sends nothing can't keep a
// connection open.
const handshakeTimeout = 5 * time.Second

// Transport opens and accepts the connections of one process, with mutual TLS if its
// settings enable it, otherwise plain TCP.
type Transport struct {
	source *CertificateSource // nil: plain
}

// NewTransport reads the files named by the settings. onReloadError is called if the
// files change later and can't be reloaded; it may be nil.
func NewTransport(t settings.TLS, onReloadError func(error)) (*Transport, error) {
	if !t.Enabled() {
		return &Transport{}, nil
	}
	s, err := NewCertificateSource(SourceOptions{Files: Files{Cert: t.Cert, Key: t.Key, CA: t.CA}, OnReloadError: onReloadError})
	if err != nil {
		return nil, err
	}
	return &Transport{source: s}, nil
}

// TLSEnabled reports whether connections use mutual TLS.
func (l *Transport) TLSEnabled() bool { return l.source != nil }

// Listen accepts connections at IP:port. With TLS, clients must have one of the roles;
// no roles mean any.
func (l *Transport) Listen(address string, roles ...Role) (net.Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	if l.source == nil {
		return inner, nil
	}
	return tls.NewListener(handshakeDeadlineListener{inner}, l.source.ServerConfig(roles...)), nil
}

// Dial returns a function that connects to servers with one of the roles; no roles mean
// any. It can be used as rpc.DialFunc.
func (l *Transport) Dial(roles ...Role) dialFunc { return l.DialOver(dialTCP, roles...) }

// DialOver is like Dial, but uses the connections that inner opens.
func (l *Transport) DialOver(inner dialFunc, roles ...Role) dialFunc {
	if l.source == nil {
		return inner
	}
	return l.source.DialOver(inner, roles...)
}

// CheckIdentity returns an error unless the process's own certificate has the given role,
// deployment and name; an empty name means any. A plain transport has no certificate and
// returns nil.
func (l *Transport) CheckIdentity(role Role, cluster, name string) error {
	if l.source == nil {
		return nil
	}
	id := l.source.Identity()
	if id.Role != role || id.Cluster != cluster || name != "" && id.Name != name {
		return eris.Wrapf(ErrWrongOwnCertificate, "certificate is for %s in %s, but this process is %s/%s in %s", id, id.Cluster, role, nameOrWildcard(name), cluster)
	}
	return nil
}

func nameOrWildcard(name string) string {
	if name == "" {
		return "*"
	}
	return name
}

// Authorize returns an error unless the peer of a connection may call a method. On plain
// connections every call is allowed: the settings permit them only on loopback or with
// allow_plain. It implements rpc.Authorizer.
func (l *Transport) Authorize(ctx context.Context, c net.Conn, method string) error {
	if l.source == nil {
		return nil
	}
	id, err := Peer(ctx, c)
	if err != nil {
		return deniedError(err.Error())
	}
	return Authorize(id, control.Method(method))
}

// handshakeDeadlineListener sets a deadline for the handshake; the TLS configuration clears
// it afterwards.
type handshakeDeadlineListener struct{ net.Listener }

// Accept implements net.Listener.
func (l handshakeDeadlineListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return c, c.SetDeadline(time.Now().Add(handshakeTimeout))
}
