package settings

import (
	"fmt"

	"github.com/sesamemux/sesamemux/pkg/inifile"
)

// TLS configures connections between processes: mutual TLS if the three files are
// given, otherwise plain TCP.
type TLS struct {
	Cert       string // path, PEM
	Key        string // path, PEM
	CA         string // path, PEM
	AllowPlain bool
}

// Enabled reports whether connections use mutual TLS.
func (t *TLS) Enabled() bool { return t.Cert != "" }

func (t *TLS) fields() []inifile.Field {
	const path = "path of a PEM file, or empty"
	return []inifile.Field{
		inifile.Text("tls_cert", &t.Cert, path, nil, "Certificate of this process. It is reloaded when it changes."),
		inifile.Text("tls_key", &t.Key, path, nil, "Private key of the certificate."),
		inifile.Text("tls_ca", &t.CA, path, nil, "Certificate authority that must have issued the peer's certificate."),
		inifile.Bool("allow_plain", &t.AllowPlain, "Allow connections without TLS on addresses other than loopback."),
	}
}

// endpoint is a settings key with its value: an address, or the path of a TLS file.
type endpoint struct {
	key, address string
}

// conflicts rejects an incomplete TLS configuration, and addresses that would be
// reachable from other hosts without TLS.
func (t *TLS) conflicts(protected []endpoint) []Conflict {
	files := []endpoint{{"tls_cert", t.Cert}, {"tls_key", t.Key}, {"tls_ca", t.CA}}
	given := 0
	for _, f := range files {
		if f.address != "" {
			given++
		}
	}
	if given > 0 && given < len(files) {
		return missingFileConflicts(files)
	}
	if given > 0 {
		return nil
	}
	return t.plainConflicts(protected)
}

func missingFileConflicts(files []endpoint) []Conflict {
	var list []Conflict
	for _, f := range files {
		if f.address == "" {
			list = append(list, Conflict{f.key, "is missing; tls_cert, tls_key and tls_ca must be given together"})
		}
	}
	return list
}

// plainConflicts rejects addresses other than loopback without TLS, unless AllowPlain
// is set.
func (t *TLS) plainConflicts(plain []endpoint) []Conflict {
	var list []Conflict
	for _, e := range plain {
		if e.address != "" && !isLoopback(e.address) && !t.AllowPlain {
			list = append(list, Conflict{e.key, fmt.Sprintf("%s is not loopback and has no TLS; give tls_cert, tls_key and tls_ca or set allow_plain = yes", e.address)})
		}
	}
	return list
}
