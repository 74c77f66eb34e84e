package settings

import (
	"fmt"

	"github.com/sesamemux/sesamemux/pkg/inifile"
)

// TLS says how connections between processes are protected: by mutual TLS
// when the three files are given, else not at all.
type TLS struct {
	Cert       string // path, PEM
	Key        string // path, PEM
	CA         string // path, PEM
	AllowPlain bool
}

// Enabled tells whether connections are protected.
func (t *TLS) Enabled() bool { return t.Cert != "" }

func (t *TLS) fields() []inifile.Field {
	const path = "path of a PEM file, or empty"
	return []inifile.Field{
		inifile.Text("tls_cert", &t.Cert, path, nil, "Certificate of this process. It is read again when it changes."),
		inifile.Text("tls_key", &t.Key, path, nil, "Key of the certificate."),
		inifile.Text("tls_ca", &t.CA, path, nil, "Certificate authority that the other side's certificate must come from."),
		inifile.Bool("allow_plain", &t.AllowPlain, "Allow connections without protection on addresses other than loopback."),
	}
}

// endpoint is one address that the process listens on.
type endpoint struct {
	key, address string
}

// conflicts refuses half a TLS configuration, and addresses that would be open
// to others without protection.
func (t *TLS) conflicts(protected []endpoint) []Conflict {
	files := []endpoint{{"tls_cert", t.Cert}, {"tls_key", t.Key}, {"tls_ca", t.CA}}
	given := 0
	for _, f := range files {
		if f.address != "" {
			given++
		}
	}
	if given > 0 && given < len(files) {
		return missingFiles(files)
	}
	if given > 0 {
		return nil
	}
	return t.plainConflicts(protected)
}

func missingFiles(files []endpoint) []Conflict {
	var list []Conflict
	for _, f := range files {
		if f.address == "" {
			list = append(list, Conflict{f.key, "is missing; tls_cert, tls_key and tls_ca go together"})
		}
	}
	return list
}

// plainConflicts refuses plain addresses off loopback, unless they are allowed.
func (t *TLS) plainConflicts(plain []endpoint) []Conflict {
	var list []Conflict
	for _, e := range plain {
		if e.address != "" && !isLoopback(e.address) && !t.AllowPlain {
			list = append(list, Conflict{e.key, fmt.Sprintf("%s is not loopback and has no protection; give tls_cert, tls_key and tls_ca or say allow_plain = yes", e.address)})
		}
	}
	return list
}
