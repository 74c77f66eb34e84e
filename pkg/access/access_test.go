package access

import (
	"context"
	"crypto/tls"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/settings"
	"github.com/sesamemux/sesamemux/pkg/view"
)

var loopback = net.IPv4(127, 0, 0, 1)

func newAuthority(t *testing.T, cluster string) *Authority {
	t.Helper()
	now := time.Now()
	a, err := NewAuthority(cluster, now, now.Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// issue writes the files of a holder that trusts the given authority.
func issue(t *testing.T, a, trusted *Authority, role Role, name string, ips ...net.IP) Files {
	t.Helper()
	dir := t.TempDir()
	p, err := a.Issue(role, name, time.Now(), ips...)
	if err != nil {
		t.Fatal(err)
	}
	ca, err := trusted.KeyPair()
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(p.Write(dir, "cert.pem", "key.pem"), ca.Write(dir, AuthorityCertFile, AuthorityKeyFile)); err != nil {
		t.Fatal(err)
	}
	return Files{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, AuthorityCertFile)}
}

func newSource(t *testing.T, f Files, now func() time.Time) *CertificateSource {
	t.Helper()
	s, err := NewCertificateSource(SourceOptions{Files: f, Now: now})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// connect performs one handshake and returns the client identity that the server sees.
func connect(t *testing.T, server, client *CertificateSource, accepted, expected []Role) (Identity, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	type seen struct {
		id  Identity
		err error
	}
	result := make(chan seen, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			result <- seen{err: err}
			return
		}
		defer func() { _ = c.Close() }()
		id, err := Peer(context.Background(), tls.Server(c, server.ServerConfig(accepted...)))
		result <- seen{id, err}
	}()
	c, dialErr := client.Dial(expected...)(context.Background(), l.Addr().String())
	if dialErr == nil {
		defer func() { _ = c.Close() }()
	}
	got := <-result
	return got.id, errors.Join(dialErr, got.err)
}

func TestOnlyDeploymentMembersConnect(t *testing.T) {
	a := newAuthority(t, "shops")
	stranger := newAuthority(t, "shops")
	other := newAuthority(t, "other")
	keeper := newSource(t, issue(t, a, a, Keeper, "k1", loopback), nil)
	cases := []struct {
		name          string
		server        *CertificateSource
		client        Files
		taken, wanted []Role
		ok            bool
	}{
		{"operator", keeper, issue(t, a, a, Operator, "ana"), nil, []Role{Keeper}, true},
		{"role not taken", keeper, issue(t, a, a, Upstream, "u1"), []Role{Keeper, Gate}, nil, false},
		{"server in the wrong role", keeper, issue(t, a, a, Operator, "ana"), nil, []Role{Gate}, false},
		{"client of another authority", keeper, issue(t, stranger, a, Operator, "eve"), nil, nil, false},
		{"server of another authority", keeper, issue(t, a, stranger, Operator, "ana"), nil, nil, false},
		{"server without the IP number", newSource(t, issue(t, a, a, Keeper, "k2", net.IPv4(10, 0, 0, 1)), nil), issue(t, a, a, Operator, "ana"), nil, nil, false},
		{"other deployment", newSource(t, issue(t, other, a, Keeper, "k1", loopback), nil), issue(t, a, other, Operator, "ana"), nil, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			id, err := connect(t, c.server, newSource(t, c.client, nil), c.taken, c.wanted)
			if (err == nil) != c.ok {
				t.Fatalf("error is %v", err)
			}
			if c.ok && id != (Identity{"shops", Operator, "ana"}) {
				t.Fatalf("server saw %v", id)
			}
		})
	}
}

// TestFilesAreReloaded replaces a keeper's certificate at run time, first by an invalid
// file, which must be reported and ignored, and then by a valid one.
func TestFilesAreReloaded(t *testing.T) {
	a := newAuthority(t, "shops")
	files := issue(t, a, a, Keeper, "k1", loopback)
	now := time.Now()
	var failures int
	s, err := NewCertificateSource(SourceOptions{Files: files, Now: func() time.Time { return now }, OnReloadError: func(error) { failures++ }})
	if err != nil {
		t.Fatal(err)
	}
	replace := func(cert, key []byte) {
		now = now.Add(2 * reloadCheckInterval)
		if err := errors.Join(os.WriteFile(files.Cert, cert, 0o600), os.WriteFile(files.Key, key, 0o600),
			os.Chtimes(files.Cert, now, now)); err != nil {
			t.Fatal(err)
		}
	}
	replace([]byte("damaged"), []byte("damaged"))
	if s.Identity().Name != "k1" || failures != 1 {
		t.Fatalf("holds %v after %d failures", s.Identity(), failures)
	}
	p, err := a.Issue(Keeper, "k9", now, loopback)
	if err != nil {
		t.Fatal(err)
	}
	replace(p.Cert, p.Key)
	if s.Identity().Name != "k9" {
		t.Fatalf("holds %v", s.Identity())
	}
}

func TestAllowedRolesOfEachMethod(t *testing.T) {
	all := allMethods(t)
	forOperators := []control.Method{
		control.MethodApply, control.MethodCheck, control.MethodGet, control.MethodHistory, control.MethodRollback,
		control.MethodDrain, control.MethodRestore, control.MethodStatus, control.MethodWait, control.MethodKeeperReplace,
		control.MethodKeeperStatus, control.MethodQuarantineList, control.MethodQuarantineRelease, control.MethodTimeline,
	}
	if asked := append(control.OperatorMethods(), control.MethodTimeline); !slices.Equal(asked, forOperators) {
		t.Errorf("gates answer operators' %v, want %v", asked, forOperators)
	}
	for _, m := range all {
		if len(allowedRoles[m]) == 0 {
			t.Errorf("nobody may call %s; add it to callers", m)
		}
		if IsAllowed(Upstream, m) {
			t.Errorf("an upstream may call %s", m)
		}
		if IsAllowed(Operator, m) != slices.Contains(forOperators, m) {
			t.Errorf("operator and %s: %v", m, IsAllowed(Operator, m))
		}
	}
	if IsAllowed(Operator, "operator.unheard-of") || IsAllowed("", control.MethodStatus) {
		t.Error("what is not listed is allowed")
	}
	if Authorize(Identity{Role: Upstream}, control.MethodApply) == nil {
		t.Error("an upstream's change was authorised")
	}
}

// allMethods reads the methods from the source of package control, so that none is
// missed.
func allMethods(t *testing.T) []control.Method {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "../control/methods.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var list []control.Method
	ast.Inspect(f, func(n ast.Node) bool {
		if l, ok := n.(*ast.BasicLit); ok && l.Kind == token.STRING {
			list = append(list, control.Method(strings.Trim(l.Value, `"`)))
		}
		return true
	})
	if len(list) < 15 {
		t.Fatalf("only %d methods were found", len(list))
	}
	return list
}

func TestAPIKeys(t *testing.T) {
	v := view.New()
	for _, o := range []object.Organisation{
		{Name: "a", KeySHA256: Digest("key of a")}, {Name: "open"}, {Name: "b", KeySHA256: Digest("key of b")}, {Name: "bad", KeySHA256: "zz"},
		{Name: "long", KeySHA256: Digest("key of c") + "00"},
	} {
		v.Organisations.Put(o.Name, o, 1)
	}
	var kept ViewKeyCache
	k := kept.ForView(v)
	for key, want := range map[string]string{"key of a": "a", "key of b": "b", "": "", "key of c": "", Digest("key of a"): ""} {
		got, ok := k.Organisation(key)
		if got != want || ok != (want != "") {
			t.Errorf("key %q is of %q, %v", key, got, ok)
		}
	}
}

// TestViewKeyCacheFollowsView changes a key between two views: the cache must return the
// keys of the requested view.
func TestViewKeyCacheFollowsView(t *testing.T) {
	var kept ViewKeyCache
	for _, key := range []string{"first", "second"} {
		v := view.New()
		v.Organisations.Put("a", object.Organisation{Name: "a", KeySHA256: Digest(key)}, 1)
		for range 2 {
			for _, tried := range []string{"first", "second"} {
				if _, ok := kept.ForView(v).Organisation(tried); ok != (tried == key) {
					t.Errorf("with key %q, %q: %v", key, tried, ok)
				}
			}
		}
	}
}

func TestKeysAreNotOverwritten(t *testing.T) {
	dir := t.TempDir()
	p, err := newAuthority(t, "shops").KeyPair()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Write(dir, "c.pem", "k.pem"); err != nil {
		t.Fatal(err)
	}
	if err := p.Write(dir, "c.pem", "k.pem"); !errors.Is(err, ErrFileExists) {
		t.Fatal(err)
	}
	info, err := os.Stat(filepath.Join(dir, "k.pem"))
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Fatal(info.Mode(), err)
	}
}

// TestTransport makes calls over transports with and without TLS.
func TestTransport(t *testing.T) {
	a := newAuthority(t, "shops")
	open := func(f Files) *Transport {
		l, err := NewTransport(settings.TLS{Cert: f.Cert, Key: f.Key, CA: f.CA}, nil)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	keeper := open(issue(t, a, a, Keeper, "k1", loopback))
	plain := open(Files{})
	cases := []struct {
		name           string
		server, client *Transport
		ok             bool
	}{
		{"keeper and gate", keeper, open(issue(t, a, a, Gate, "g1", loopback)), true},
		{"keeper and upstream", keeper, open(issue(t, a, a, Upstream, "u1", loopback)), false},
		{"keeper and plain client", keeper, plain, false},
		{"plain", plain, plain, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, err := c.server.Listen("127.0.0.1:0", Keeper, Gate)
			if err != nil {
				t.Fatal(err)
			}
			s := rpc.NewServer()
			defer s.Close()
			defer func() { _ = l.Close() }()
			rpc.Handle(s, string(control.MethodGateSync), func(context.Context, struct{}) (struct{}, error) { return struct{}{}, nil })
			go func() { _ = s.Serve(l) }()
			client := rpc.NewClient(l.Addr().String(), c.client.Dial(Keeper))
			defer client.Close()
			err = client.Call(t.Context(), string(control.MethodGateSync), struct{}{}, nil)
			if (err == nil) != c.ok {
				t.Fatalf("error is %v", err)
			}
		})
	}
}

// TestHandshakeTimeout opens a connection whose client never starts the handshake.
func TestHandshakeTimeout(t *testing.T) {
	a := newAuthority(t, "shops")
	config := newSource(t, issue(t, a, a, Keeper, "k1", loopback), nil).ServerConfig()
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		c, err := handshakeDeadlineListener{singleConnListener{conn: far}}.Accept()
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		_, err = Peer(t.Context(), tls.Server(c, config))
		if !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(began) != handshakeTimeout {
			t.Fatalf("after %s: %v", time.Since(began), err)
		}
	})
}

// singleConnListener is a listener with one connection.
type singleConnListener struct {
	net.Listener
	conn net.Conn
}

func (l singleConnListener) Accept() (net.Conn, error) { return l.conn, nil }
