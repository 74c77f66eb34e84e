package access

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	dialTimeout         = 500 * time.Millisecond
	reloadCheckInterval = time.Second // between checks of the files' modification times
)

// SourceOptions configure a CertificateSource.
type SourceOptions struct {
	Files Files
	Now   func() time.Time // time.Now if nil
	// OnReloadError is called if changed files can't be loaded; may be nil.
	OnReloadError func(error)
}

// CertificateSource provides TLS configurations from files and reloads the files when they
// change.
type CertificateSource struct {
	options SourceOptions

	mu        sync.Mutex
	loaded    *tlsMaterial
	checkedAt time.Time
}

// NewCertificateSource reads the files.
func NewCertificateSource(o SourceOptions) (*CertificateSource, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.OnReloadError == nil {
		o.OnReloadError = func(error) {}
	}
	m, err := o.Files.load()
	if err != nil {
		return nil, err
	}
	return &CertificateSource{options: o, loaded: m, checkedAt: o.Now()}, nil
}

// current returns the content of the files, at most reloadCheckInterval out of date.
func (s *CertificateSource) current() *tlsMaterial {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	if now.Sub(s.checkedAt) < reloadCheckInterval {
		return s.loaded
	}
	s.checkedAt = now
	times, err := s.options.Files.modTimes()
	if err == nil && times == s.loaded.modTimes {
		return s.loaded
	}
	m, err := s.options.Files.load()
	if err != nil {
		s.options.OnReloadError(err)
		return s.loaded
	}
	s.loaded = m
	return m
}

// Identity returns the holder of this process's certificate.
func (s *CertificateSource) Identity() Identity { return s.current().identity }

// ServerConfig returns a configuration that accepts only clients with a certificate of
// this deployment and one of the roles; no roles mean any.
func (s *CertificateSource) ServerConfig(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.current()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				Certificates:     []tls.Certificate{m.certificate},
				ClientAuth:       tls.RequireAndVerifyClientCert,
				ClientCAs:        m.authorities,
				VerifyConnection: clearDeadline(hello.Conn, m.verify(roles)),
			}, nil
		},
	}
}

// clearDeadline clears the deadline of a handshake after the peer was verified.
func clearDeadline(c net.Conn, verify func(tls.ConnectionState) error) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if err := verify(state); err != nil {
			return err
		}
		return c.SetDeadline(time.Time{})
	}
}

// clientConfig returns a configuration for one connection to a host.
func (s *CertificateSource) clientConfig(host string, roles []Role) *tls.Config {
	m := s.current()
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		ServerName:       host,
		Certificates:     []tls.Certificate{m.certificate},
		RootCAs:          m.authorities,
		VerifyConnection: m.verify(roles),
	}
}

// verify returns a function that checks the identity of the peer after its certificate
// chain was verified.
func (m *tlsMaterial) verify(roles []Role) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		id, err := PeerOf(state)
		if err != nil {
			return err
		}
		if id.Cluster != m.identity.Cluster {
			return ErrWrongCluster
		}
		if len(roles) > 0 && !slices.Contains(roles, id.Role) {
			return eris.Wrapf(ErrInvalidIdentity, "role %s is not accepted here", id.Role)
		}
		return nil
	}
}

// Dial returns a function that connects to host:port of a server with one of the roles;
// no roles mean any. The server's certificate must contain the host's IP address. It can
// be used as rpc.DialFunc.
func (s *CertificateSource) Dial(roles ...Role) dialFunc { return s.DialOver(dialTCP, roles...) }

// Peer completes the handshake of a connection and returns the identity of the peer.
func Peer(ctx context.Context, c net.Conn) (Identity, error) {
	t, ok := c.(*tls.Conn)
	if !ok {
		return Identity{}, ErrNoPeerCertificate
	}
	if err := t.HandshakeContext(ctx); err != nil {
		return Identity{}, eris.Wrap(err, "TLS handshake")
	}
	return PeerOf(t.ConnectionState())
}
