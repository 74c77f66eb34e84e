package access

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// Files are the paths of a process's PEM files.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// tlsMaterial is the parsed content of the files.
type tlsMaterial struct {
	certificate tls.Certificate
	identity    Identity
	authorities *x509.CertPool
	modTimes    [3]time.Time // of Cert, Key and CA
}

func (f Files) paths() [3]string { return [3]string{f.Cert, f.Key, f.CA} }

// modTimes returns the modification times of the files.
func (f Files) modTimes() ([3]time.Time, error) {
	var times [3]time.Time
	for i, p := range f.paths() {
		info, err := os.Stat(p)
		if err != nil {
			return times, eris.Wrap(err, "TLS files")
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

// load reads all files. It takes the modification times first, so that a file that
// changes in the meantime is reloaded.
func (f Files) load() (*tlsMaterial, error) {
	times, err := f.modTimes()
	if err != nil {
		return nil, err
	}
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, eris.Wrapf(err, "load %s with %s", f.Cert, f.Key)
	}
	id, err := IdentityOf(cert.Leaf)
	if err != nil {
		return nil, eris.Wrap(err, f.Cert)
	}
	text, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, eris.Wrap(err, "TLS files")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, eris.Wrap(ErrNoCertificatePEM, f.CA)
	}
	return &tlsMaterial{certificate: cert, identity: id, authorities: pool, modTimes: times}, nil
}
