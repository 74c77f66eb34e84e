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
	dialTimeout   = 500 * time.Millisecond
	checkInterval = time.Second // between two looks at the files
)

// SourceOptions configure a Source.
type SourceOptions struct {
	Files Files
	Now   func() time.Time // time.Now when nil
	// OnReloadError is told when changed files could not be read; may be nil.
	OnReloadError func(error)
}

// CertificateSource gives TLS configurations from files and reads them again when they
// change.
type CertificateSource struct {
	options SourceOptions

	mu     sync.Mutex
	held   *material
	looked time.Time
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
	return &CertificateSource{options: o, held: m, looked: o.Now()}, nil
}

// current returns what the files hold, at most checkInterval late.
func (s *CertificateSource) current() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	if now.Sub(s.looked) < checkInterval {
		return s.held
	}
	s.looked = now
	times, err := s.options.Files.changed()
	if err == nil && times == s.held.changed {
		return s.held
	}
	m, err := s.options.Files.load()
	if err != nil {
		s.options.OnReloadError(err)
		return s.held
	}
	s.held = m
	return m
}

// Identity returns the holder of this process's certificate.
func (s *CertificateSource) Identity() Identity { return s.current().identity }

// ServerConfig returns a configuration that takes only connections from
// holders of certificates of this deployment, in one of the roles; no roles
// stand for all.
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
				VerifyConnection: liftDeadline(hello.Conn, m.verify(roles)),
			}, nil
		},
	}
}

// liftDeadline ends the deadline of a handshake once the other side is known.
func liftDeadline(c net.Conn, verify func(tls.ConnectionState) error) func(tls.ConnectionState) error {
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

// verify checks who the other side is, after its chain was verified.
func (m *material) verify(roles []Role) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		id, err := PeerOf(state)
		if err != nil {
			return err
		}
		if id.Cluster != m.identity.Cluster {
			return ErrWrongCluster
		}
		if len(roles) > 0 && !slices.Contains(roles, id.Role) {
			return eris.Wrapf(ErrInvalidIdentity, "role %s is not taken here", id.Role)
		}
		return nil
	}
}

// Dial returns a function that connects to host:port of a server in one of
// the roles; no roles stand for all. The server's certificate must hold the
// host's IP number. It fits rpc.DialFunc.
func (s *CertificateSource) Dial(roles ...Role) dialFunc { return s.DialOver(dialTCP, roles...) }

// Peer returns the identity at the other end of a connection, after its
// handshake.
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
