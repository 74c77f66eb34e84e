// Package docs checks the pages against the code.
package docs

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/sesamemux/sesamemux/pkg/inifile"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/settings"
)

var update = flag.Bool("update", false, "write the generated pages")

const configurationHead = `# Configuration

Generated from the code by "go test ./docs -update"; a test compares them.

There are two things to configure: the *settings* of each process, which give its
addresses and files, and the *objects* of the deployment, which operators
edit with ` + "`sesamectl`" + `.

## Settings

Each program reads one INI file (` + "`--settings FILE`" + `) with one section named
after it. An environment variable overrides the file, and
` + "`--set KEY=VALUE`" + ` overrides both. Unknown keys, sections and variables with the
program's prefix are refused, and all errors are reported at once.

    sesame-gate --settings gate.ini --check-settings   # lists every error
    sesame-gate --print-settings                       # defaults, ranges and meanings

Sizes take KiB, MiB, GiB and TiB; durations are written as 1.5s or 2m; yes and
no are the only words for switches. Addresses are IP:port.

Addresses other than loopback are refused unless connections are protected or
the settings set allow_plain = yes. With tls_cert, tls_key and tls_ca, connections
between processes are under mutual TLS: keepers with keepers, gates with keepers,
gates with gates (hand-over), operators with both, and upstreams' announcements.
` + "`sesamectl keys init`" + ` makes the files. A certificate names its holder's role, and
each process accepts only what that role may do: an operator's commands need an
operator's certificate, and an upstream announces only the host that its own
names. The files are reread when they change; established connections are kept.

Callers reach http_listen without a certificate of the deployment, so that off
loopback it needs allow_plain = yes in any case; the platform's balancer stands
before it. Requests and orders to upstreams are plain HTTP, on the deployment's own
network.
`

// TestConfigurationPage compares the page with the settings and objects.
func TestConfigurationPage(t *testing.T) {
	var b strings.Builder
	b.WriteString(configurationHead)
	for _, p := range []struct {
		name     string
		settings settings.Program
	}{
		{"sesame-keeper", ptr(settings.Default[settings.Keeper]())},
		{"sesame-gate", ptr(settings.Default[settings.Gate]())},
		{"sesamectl", ptr(settings.Default[settings.Ctl]())},
	} {
		fmt.Fprintf(&b, "\n### %s\n\nSection `[%s]`, variables `%s...`.\n\n", p.name, p.settings.Section(), settings.EnvironmentPrefix(p.settings))
		b.WriteString("| key | default | allowed | meaning |\n|---|---|---|---|\n")
		for _, f := range p.settings.Fields() {
			fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", f.Key, defaultText(f), f.Allowed, f.Doc)
		}
	}
	b.WriteString(objectsHead)
	for _, k := range object.Describe() {
		fmt.Fprintf(&b, "\n### [%s NAME]\n\n%s\n\n| field | default | allowed | meaning |\n|---|---|---|---|\n", k.Kind, k.Meaning)
		for _, f := range k.Fields {
			value := f.Default
			if f.Required {
				value = "required"
			}
			fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", f.Field, value, f.Allowed, f.Meaning)
		}
	}
	compare(t, "CONFIGURATION.md", b.String())
}

const objectsHead = `
## Objects

A set of objects is one INI file; [examples](../examples) holds three. It is
checked and published as one unit: ` + "`sesamectl check FILE`" + ` lists every error
with file, line, object and field, and ` + "`sesamectl apply FILE`" + ` publishes the whole
set or nothing. Names are 1 to 63 of a-z, 0-9 and -, starting with a letter. A
file holds at most 4 MiB and 100000 objects.
`

func ptr[T any](v T) *T { return &v }

func defaultText(f inifile.Field) string {
	if f.Required && (f.Get() == "" || f.Get() == "0") {
		return "required"
	}
	return f.Get()
}

func compare(t *testing.T, page, want string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(page, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	have, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if string(have) != want {
		t.Errorf("%s is not what the code says; run go test ./docs -update", page)
	}
}
