// Package accesstest issues certificates for tests.
package accesstest

import (
	"errors"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/settings"
)

// validity is how long test certificates are valid.
const validity = time.Hour

// Authority issues certificates of one deployment, for 127.0.0.1.
type Authority struct {
	t         testing.TB
	dir       string
	authority *access.Authority
}

// New returns an authority whose files are removed after the test.
func New(t testing.TB, cluster string) *Authority {
	t.Helper()
	now := time.Now()
	a, err := access.NewAuthority(cluster, now, now.Add(validity))
	if err != nil {
		t.Fatal(err)
	}
	pair, err := a.KeyPair()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := pair.Write(dir, access.AuthorityCertFile, access.AuthorityKeyFile); err != nil {
		t.Fatal(err)
	}
	return &Authority{t: t, dir: dir, authority: a}
}

// Issue writes the files of a new holder and returns TLS settings for them.
func (a *Authority) Issue(role access.Role, name string) settings.TLS {
	a.t.Helper()
	pair, err := a.authority.Issue(role, name, time.Now(), net.IPv4(127, 0, 0, 1))
	base := string(role) + "-" + name
	if err = errors.Join(err, pair.Write(a.dir, base+".pem", base+"-key.pem")); err != nil {
		a.t.Fatal(err)
	}
	return settings.TLS{
		Cert: filepath.Join(a.dir, base+".pem"),
		Key:  filepath.Join(a.dir, base+"-key.pem"),
		CA:   filepath.Join(a.dir, access.AuthorityCertFile),
	}
}

// Transport returns the transport of a new holder.
func (a *Authority) Transport(role access.Role, name string) *access.Transport {
	a.t.Helper()
	l, err := access.NewTransport(a.Issue(role, name), nil)
	if err != nil {
		a.t.Fatal(err)
	}
	return l
}
