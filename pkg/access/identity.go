package access

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"strings"
)

// scheme starts the URI of an identity.
const scheme = "sesame"

// Identity is the holder of a certificate.
type Identity struct {
	Cluster string
	Role    Role
	Name    string
}

// URI is the form that certificates hold.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: scheme, Host: i.Cluster, Path: "/" + string(i.Role) + "/" + i.Name}
}

// String gives the identity as role/name.
func (i Identity) String() string { return string(i.Role) + "/" + i.Name }

// IdentityOf reads the holder of a certificate. The certificate must have been
// verified.
func IdentityOf(c *x509.Certificate) (Identity, error) {
	for _, u := range c.URIs {
		if u.Scheme != scheme {
			continue
		}
		role, name, ok := strings.Cut(strings.TrimPrefix(u.Path, "/"), "/")
		id := Identity{Cluster: u.Host, Role: Role(role), Name: name}
		if !ok || name == "" || id.Role.Check() != nil {
			return Identity{}, ErrInvalidIdentity
		}
		return id, nil
	}
	return Identity{}, ErrInvalidIdentity
}

// PeerOf reads the holder at the other end of a connection whose
// handshake is over.
func PeerOf(state tls.ConnectionState) (Identity, error) {
	if len(state.VerifiedChains) == 0 || len(state.PeerCertificates) == 0 {
		return Identity{}, ErrNoPeerCertificate
	}
	return IdentityOf(state.PeerCertificates[0])
}
