package settings

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const goodKeeper = `# a keeper
[keeper]
id = 1
failure_domain = fd-a
data_dir = /var/lib/sesame
peers = 1@127.0.0.1:7700, 2@127.0.0.1:7710
`

const goodGate = `[gate]
name = g1
failure_domain = fd-a
keepers = 127.0.0.1:7700, 127.0.0.1:7710
`

const goodFake = `[fake]
name = engine-1
failure_domain = fd-a
fabric_domain = fabric-1
gates = 127.0.0.1:7803
`

const tlsFiles = "tls_cert = a.pem\ntls_key = b.pem\ntls_ca = c.pem\n"

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestGoodSettings(t *testing.T) {
	k, problems := Load[Keeper](write(t, goodKeeper), nil, nil)
	if len(problems) > 0 || k.ID != 1 || len(k.Peers) != 2 || k.Peers[1] != (Peer{2, "127.0.0.1:7710"}) {
		t.Fatalf("%+v %v", k, problems)
	}
	g, problems := Load[Gate](write(t, goodGate), []string{"HOME=/", "SESAME_GATE_NAME=g2", "SESAME_GATE_SHUTDOWN_NOTICE=9s"}, []string{"name=g3"})
	if len(problems) > 0 || g.Name != "g3" || g.ShutdownNotice != 9*time.Second {
		t.Fatalf("%+v %v", g, problems)
	}
	if _, problems := Load[Fake](write(t, goodFake), nil, nil); len(problems) > 0 {
		t.Fatal(problems)
	}
	if _, problems := Load[Ctl]("", nil, nil); len(problems) > 0 {
		t.Fatal(problems)
	}
}

// TestProtectedAddresses checks that addresses other than loopback are accepted with TLS.
func TestProtectedAddresses(t *testing.T) {
	k, problems := Load[Keeper](write(t, strings.ReplaceAll(goodKeeper, "127.0.0.1", "10.0.0.7")+tlsFiles+"rpc_listen = 10.0.0.7:7700\n"), nil, nil)
	if len(problems) > 0 || !k.TLS.Enabled() {
		t.Errorf("%+v %v", k.TLS, problems)
	}
	g, problems := Load[Gate](write(t, strings.ReplaceAll(goodGate, "127.0.0.1", "10.0.0.7")+tlsFiles+
		"peer_listen = 10.0.0.8:7801\nrpc_listen = 10.0.0.8:7802\nupstream_listen = 10.0.0.8:7803\n"), nil, nil)
	if len(problems) > 0 || !g.TLS.Enabled() {
		t.Errorf("%+v %v", g.TLS, problems)
	}
}

// TestWrongSettings loads settings with one error each and compares the only problem
// that they must produce.
func TestWrongSettings(t *testing.T) {
	keeper := func(text string) (string, []Problem) {
		path := write(t, text)
		_, p := Load[Keeper](path, nil, nil)
		return path, p
	}
	gate := func(text string) (string, []Problem) {
		path := write(t, text)
		_, p := Load[Gate](path, nil, nil)
		return path, p
	}
	fake := func(text string) (string, []Problem) {
		path := write(t, text)
		_, p := Load[Fake](path, nil, nil)
		return path, p
	}
	ctl := func(text string) (string, []Problem) {
		path := write(t, text)
		_, p := Load[Ctl](path, nil, nil)
		return path, p
	}
	cases := []struct {
		name string
		load func(string) (string, []Problem)
		text string
		line int
		key  string
		part string
	}{
		{"unknown key", keeper, goodKeeper + "lease = 3s\n", 7, "lease", "unknown key; keys are id, host"},
		{"unknown section", keeper, goodKeeper + "[gate]\nname = g\n", 7, "", "this program reads [keeper]"},
		{"section twice", keeper, goodKeeper + "[keeper]\nhost = h\n", 7, "", "given twice"},
		{"key twice", keeper, goodKeeper + "id = 2\n", 7, "id", "first on line 3"},
		{"key before section", keeper, "id = 1\n" + goodKeeper, 1, "id", "before any section"},
		{"no value sign", keeper, goodKeeper + "join\n", 7, "", `no "="`},
		{"header not closed", keeper, goodKeeper + "[keeper\n", 7, "", "header"},
		{"not UTF-8", keeper, goodKeeper + "host = \xff\n", 7, "", "UTF-8"},
		{"multi-line value", keeper, goodKeeper + "host = `a\n", 7, "host", "multi-line"},
		{"id missing", keeper, strings.Replace(goodKeeper, "id = 1", "", 1), 0, "id", "is missing; allowed: 1 to 4294967295"},
		{"id zero", keeper, strings.Replace(goodKeeper, "id = 1", "id = 0", 1), 3, "id", "is missing"},
		{"id negative", keeper, strings.Replace(goodKeeper, "id = 1", "id = -1", 1), 3, "id", "not a whole number"},
		{"id a word", keeper, strings.Replace(goodKeeper, "id = 1", "id = one", 1), 3, "id", "not a whole number"},
		{"id out of range", keeper, strings.Replace(goodKeeper, "id = 1", "id = 5000000000", 1), 3, "id", "out of range; allowed: 1 to 4294967295"},
		{"peer without id", keeper, strings.Replace(goodKeeper, "2@", "", 1), 6, "peers", "not id@IP:port"},
		{"peer twice", keeper, strings.Replace(goodKeeper, "2@", "1@", 1), 6, "peers", "id 1 is listed twice"},
		{"self not a peer", keeper, strings.Replace(goodKeeper, "id = 1", "id = 3", 1), 6, "peers", "set join = yes"},
		{"host name for an address", keeper, goodKeeper + "rpc_listen = localhost:7700\n", 7, "rpc_listen", "not IP:port"},
		{"address without port", keeper, goodKeeper + "rpc_listen = 127.0.0.1\n", 7, "rpc_listen", "not IP:port"},
		{"address of no host", keeper, goodKeeper + "rpc_listen = 0.0.0.0:7700\n", 7, "rpc_listen", "names no host"},
		{"plain off loopback", keeper, goodKeeper + "rpc_listen = 10.0.0.7:7700\n", 7, "rpc_listen", "set allow_plain = yes"},
		{"plain to a keeper off loopback", gate, strings.Replace(goodGate, "127.0.0.1:7710", "10.0.0.7:7700", 1), 4, "keepers", "set allow_plain = yes"},
		{"half a TLS configuration", ctl, "[ctl]\ntls_cert = a.pem\ntls_key = b.pem\n", 0, "tls_ca", "given together"},
		{"server off loopback without TLS", ctl, "[ctl]\nservers = 10.0.0.7:7700\n", 2, "servers", "set allow_plain = yes"},
		{"keeper's certificate without its key", keeper, goodKeeper + "tls_cert = a.pem\ntls_ca = c.pem\n", 0, "tls_key", "given together"},
		{"gate's key without its certificate", gate, goodGate + "tls_key = b.pem\ntls_ca = c.pem\n", 0, "tls_cert", "given together"},
		{"callers plain off loopback beside TLS", gate, goodGate + tlsFiles + "http_listen = 10.0.0.7:80\n", 8, "http_listen", "set allow_plain = yes"},
		{"yes or no", keeper, goodKeeper + "join = true\n", 7, "join", "neither yes nor no; allowed: yes or no"},
		{"log level", keeper, goodKeeper + "log_level = loud\n", 7, "log_level", "unknown log level"},
		{"name of a failure domain", keeper, strings.Replace(goodKeeper, "fd-a", "FD A", 1), 4, "failure_domain", "not a name"},
		{"keeper port 0", gate, strings.Replace(goodGate, ":7710", ":0", 1), 4, "keepers", "port 0"},
		{"keeper twice", gate, strings.Replace(goodGate, ":7710", ":7700", 1), 4, "keepers", "listed twice"},
		{"no keepers", gate, strings.Replace(goodGate, "127.0.0.1:7700, 127.0.0.1:7710", "", 1), 4, "keepers", "is missing"},
		{"empty element", gate, strings.Replace(goodGate, "7700, ", "7700,, ", 1), 4, "keepers", "empty element"},
		{"size without a unit", gate, goodGate + "max_body_bytes = 8 apples\n", 5, "max_body_bytes", "not a size"},
		{"size out of range", gate, goodGate + "max_body_bytes = 1GiB\n", 5, "max_body_bytes", "out of range; allowed: 1 to 256MiB"},
		{"size that overflows", gate, goodGate + "max_body_bytes = 99999999999TiB\n", 5, "max_body_bytes", "not a size"},
		{"duration without a unit", gate, goodGate + "header_timeout = 5\n", 5, "header_timeout", "not a duration"},
		{"duration out of range", gate, goodGate + "header_timeout = 0s\n", 5, "header_timeout", "out of range; allowed: 100ms to 1m"},
		{"slow bodies without end", gate, goodGate + "body_timeout = 0s\n", 5, "body_timeout", "out of range; allowed: 1s to 1m30s"},
		{"request that outlives its permits", gate, goodGate + "max_request_time = 10m\n", 5, "max_request_time", "out of range; allowed: 1s to 1m30s"},
		{"connections", gate, goodGate + "max_connections = 0\n", 5, "max_connections", "out of range"},
		{"callers plain off loopback", gate, goodGate + "http_listen = 0.0.0.0:80\n", 5, "http_listen", "set allow_plain = yes"},
		{"kind of fake", fake, goodFake + "kind = robot\n", 6, "kind", "neither engine nor service"},
		{"engine without fabric", fake, strings.Replace(goodFake, "fabric_domain = fabric-1", "", 1), 0, "fabric_domain", "is missing"},
		{"service without its object", fake, goodFake + "kind = service\n", 0, "service", "is missing"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path, problems := c.load(c.text)
			if len(problems) != 1 {
				t.Fatalf("%d problems: %v", len(problems), problems)
			}
			p := problems[0]
			if p.File != path || p.Line != c.line || p.Key != c.key || !strings.Contains(p.Error(), c.part) {
				t.Fatalf("got %v, want line %d, key %q, %q", p, c.line, c.key, c.part)
			}
		})
	}
}

func TestAllProblemsAtOnce(t *testing.T) {
	text := "[gate]\nname = G 1\nkeepers = here\nspeed = 3\n[other]\n"
	_, problems := Load[Gate](write(t, text), []string{"SESAME_GATE_MAX_BODY=1"}, []string{"max_connections=many", "odd"})
	var all strings.Builder
	for _, p := range problems {
		all.WriteString(p.Error() + "\n")
	}
	for _, part := range []string{
		":2: name:", ":3: keepers:", ":4: speed:", ":5: unknown section", "failure_domain: is missing",
		"environment: SESAME_GATE_MAX_BODY: unknown key", "--set: max_connections:", `--set: "odd" is not key=value`,
	} {
		if !strings.Contains(all.String(), part) {
			t.Errorf("no problem %q in\n%s", part, all.String())
		}
	}
}

func TestMissingFile(t *testing.T) {
	_, problems := Load[Ctl](filepath.Join(t.TempDir(), "none.ini"), nil, nil)
	if len(problems) != 1 || !strings.Contains(problems[0].Error(), "no such file") {
		t.Fatal(problems)
	}
}

// TestPrintedSettingsLoad checks that printed settings load to the same settings.
func TestPrintedSettingsLoad(t *testing.T) {
	k, _ := Load[Keeper](write(t, goodKeeper), nil, nil)
	again, problems := Load[Keeper](write(t, Print(&k)), nil, nil)
	if len(problems) > 0 || Print(&again) != Print(&k) {
		t.Fatal(problems)
	}
	g, _ := Load[Gate](write(t, goodGate), nil, nil)
	gates, problems := Load[Gate](write(t, Print(&g)), nil, nil)
	if len(problems) > 0 || Print(&gates) != Print(&g) {
		t.Fatal(problems)
	}
}

func TestPrepare(t *testing.T) {
	cases := []struct {
		name  string
		flags Flags
		run   bool
		exit  int
		out   string
		err   string
	}{
		{"run", Flags{Settings: write(t, goodGate)}, true, ExitOK, "", ""},
		{"check", Flags{Settings: write(t, goodGate), CheckSettings: true}, false, ExitOK, "settings are valid", ""},
		{"check problems", Flags{CheckSettings: true}, false, ExitRefused, "", "problems in the settings: 3"},
		{"print", Flags{PrintSettings: true}, false, ExitOK, "SESAME_GATE_KEEPERS", "keepers: is missing"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			_, run, exit := Prepare[Gate](c.flags, nil, &out, &errOut)
			if run != c.run || exit != c.exit || !strings.Contains(out.String(), c.out) || !strings.Contains(errOut.String(), c.err) {
				t.Fatalf("run %v exit %d\nout %s\nerr %s", run, exit, out.String(), errOut.String())
			}
		})
	}
}
