package control

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/durable"
)

// maxUnpacked bounds a document after unpacking, in bytes.
const maxUnpacked = 16 << 20

// PackedDocument is a document on its way to many processes: routes resemble
// each other, and a tenth of the bytes costs a tenth of the work.
type PackedDocument struct {
	Version int64  `json:"version"`
	Deflate []byte `json:"deflate"`
}

// Pack returns the packed form of a document.
func Pack(d *durable.Document) (*PackedDocument, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "pack document")
	}
	if _, err := w.Write(d.Raw); err != nil {
		return nil, eris.Wrap(err, "pack document")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "pack document")
	}
	return &PackedDocument{Version: d.Version, Deflate: b.Bytes()}, nil
}

// Unpack returns the document as it was sent.
func (p *PackedDocument) Unpack() ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Deflate)), maxUnpacked))
	return raw, eris.Wrap(err, "unpack document")
}
