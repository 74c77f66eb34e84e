package access

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	serialBits = 120
	// clockSkewAllowance is how far certificates are antedated, so that they are valid on
	// hosts whose clocks are behind.
	clockSkewAllowance = time.Hour
	// authoritySuffix follows the deployment's name in the subject of an authority.
	authoritySuffix = " authority"
)

// Names of an authority's files.
const (
	AuthorityCertFile = "ca.pem"
	AuthorityKeyFile  = "ca-key.pem"
)

// Authority issues the certificates of one deployment.
type Authority struct {
	Cluster     string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	notAfter    time.Time
}

// KeyPair is a PEM-encoded certificate with its private key.
type KeyPair struct {
	Cert []byte
	Key  []byte
}

// NewAuthority creates an authority whose certificates are valid until a time.
func NewAuthority(cluster string, now, until time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "authority's key")
	}
	t, err := certificateTemplate(cluster+authoritySuffix, now, until)
	if err != nil {
		return nil, err
	}
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.MaxPathLenZero = true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return nil, eris.Wrap(err, "authority's certificate")
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "authority's certificate")
	}
	return &Authority{Cluster: cluster, certificate: c, key: key, notAfter: until}, nil
}

// LoadAuthority reads an authority from a directory. The certificates that it issues
// expire together with its own.
func LoadAuthority(dir string) (*Authority, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, AuthorityCertFile), filepath.Join(dir, AuthorityKeyFile))
	if err != nil {
		return nil, eris.Wrap(err, "load authority")
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	cluster, named := strings.CutSuffix(pair.Leaf.Subject.CommonName, authoritySuffix)
	if !ok || !named || !pair.Leaf.IsCA {
		return nil, eris.Wrapf(ErrInvalidIdentity, "%s is not the authority of a deployment", AuthorityCertFile)
	}
	return &Authority{Cluster: cluster, certificate: pair.Leaf, key: key, notAfter: pair.Leaf.NotAfter}, nil
}

func certificateTemplate(name string, now, until time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkewAllowance),
		NotAfter:     until,
	}, nil
}

// Issue creates a certificate for a holder that is reachable at the IP addresses.
func (a *Authority) Issue(role Role, name string, now time.Time, addresses ...net.IP) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, eris.Wrap(err, "key")
	}
	id := Identity{Cluster: a.Cluster, Role: role, Name: name}
	t, err := certificateTemplate(id.String(), now, a.notAfter)
	if err != nil {
		return KeyPair{}, err
	}
	t.URIs = []*url.URL{id.URI()}
	t.IPAddresses = addresses
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, a.certificate, key.Public(), a.key)
	if err != nil {
		return KeyPair{}, eris.Wrap(err, "certificate")
	}
	return encodePEM(der, key)
}

// KeyPair returns the authority's own certificate and key.
func (a *Authority) KeyPair() (KeyPair, error) { return encodePEM(a.certificate.Raw, a.key) }

func encodePEM(certificate []byte, key *ecdsa.PrivateKey) (KeyPair, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, eris.Wrap(err, "key")
	}
	return KeyPair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}),
	}, nil
}

// Write writes a pair to two new files of a directory. Only the owner can read the key
// file.
func (p KeyPair) Write(dir, certFile, keyFile string) error {
	if err := writeNewFile(filepath.Join(dir, certFile), p.Cert, 0o644); err != nil {
		return err
	}
	return writeNewFile(filepath.Join(dir, keyFile), p.Key, 0o600)
}

func writeNewFile(path string, text []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if os.IsExist(err) {
		return eris.Wrap(ErrFileExists, path)
	}
	if err != nil {
		return eris.Wrap(err, "write key file")
	}
	_, err = f.Write(text)
	if closed := f.Close(); err == nil {
		err = closed
	}
	return eris.Wrap(err, "write key file")
}
