package access

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"strings"
)

// scheme is the URI scheme of identities.
const scheme = "sesame"

// Identity is the holder of a certificate.
type Identity struct {
	Cluster string
	Role    Role
	Name    string
}

// URI returns the identity as it is stored in certificates.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: scheme, Host: i.Cluster, Path: "/" + string(i.Role) + "/" + i.Name}
}

// String formats the identity as role/name.
func (i Identity) String() string { return string(i.Role) + "/" + i.Name }

// IdentityOf returns the holder of a certificate, which must already have been
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

// PeerOf returns the identity of the peer of a connection whose handshake is complete.
func PeerOf(state tls.ConnectionState) (Identity, error) {
	if len(state.VerifiedChains) == 0 || len(state.PeerCertificates) == 0 {
		return Identity{}, ErrNoPeerCertificate
	}
	return IdentityOf(state.PeerCertificates[0])
}
