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
	// backdate lets certificates hold on hosts whose clocks are behind.
	backdate = time.Hour
	// authoritySuffix follows the deployment's name in an authority's subject.
	authoritySuffix = " authority"
)

// Names of the files of Authority.Write.
const (
	AuthorityCertFile = "ca.pem"
	AuthorityKeyFile  = "ca-key.pem"
)

// Authority issues the certificates of one deployment.
type Authority struct {
	Cluster     string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	until       time.Time
}

// KeyPair is a certificate with its key, in PEM form.
type KeyPair struct {
	Cert []byte
	Key  []byte
}

// NewAuthority makes an authority whose certificates hold until a time.
func NewAuthority(cluster string, now, until time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "authority's key")
	}
	t, err := template(cluster+authoritySuffix, now, until)
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
	return &Authority{Cluster: cluster, certificate: c, key: key, until: until}, nil
}

// LoadAuthority reads an authority that was written to a folder. Certificates
// that it issues hold as long as its own.
func LoadAuthority(dir string) (*Authority, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, AuthorityCertFile), filepath.Join(dir, AuthorityKeyFile))
	if err != nil {
		return nil, eris.Wrap(err, "load authority")
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	cluster, named := strings.CutSuffix(pair.Leaf.Subject.CommonName, authoritySuffix)
	if !ok || !named || !pair.Leaf.IsCA {
		return nil, eris.Wrapf(ErrInvalidIdentity, "%s is no authority of a deployment", AuthorityCertFile)
	}
	return &Authority{Cluster: cluster, certificate: pair.Leaf, key: key, until: pair.Leaf.NotAfter}, nil
}

func template(name string, now, until time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     until,
	}, nil
}

// Issue makes a certificate for a holder, who answers at the IP numbers.
func (a *Authority) Issue(role Role, name string, now time.Time, addresses ...net.IP) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, eris.Wrap(err, "key")
	}
	id := Identity{Cluster: a.Cluster, Role: role, Name: name}
	t, err := template(id.String(), now, a.until)
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
	return encode(der, key)
}

// KeyPair returns the authority's own certificate and key.
func (a *Authority) KeyPair() (KeyPair, error) { return encode(a.certificate.Raw, a.key) }

func encode(certificate []byte, key *ecdsa.PrivateKey) (KeyPair, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, eris.Wrap(err, "key")
	}
	return KeyPair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}),
	}, nil
}

// Write keeps a pair in two new files of a folder. The key is readable by its
// owner alone.
func (p KeyPair) Write(dir, certFile, keyFile string) error {
	if err := writeNew(filepath.Join(dir, certFile), p.Cert, 0o644); err != nil {
		return err
	}
	return writeNew(filepath.Join(dir, keyFile), p.Key, 0o600)
}

func writeNew(path string, text []byte, mode os.FileMode) error {
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
