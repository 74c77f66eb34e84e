package durable

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

// maxDocument bounds a document after unpacking, in bytes.
const maxDocument = 16 << 20

// Document is a set of objects as the operator sent it, packed: routes
// resemble each other, and a tenth of the bytes costs a tenth of the work in the
// log, between replicas and on the way to many entry hosts.
type Document struct {
	Version int64  `json:"version"`
	Packed  []byte `json:"packed"` // DEFLATE
}

// Pack returns the document of a version.
func Pack(version int64, raw []byte) (*Document, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "pack document")
	}
	if _, err := w.Write(raw); err != nil {
		return nil, eris.Wrap(err, "pack document")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "pack document")
	}
	return &Document{Version: version, Packed: b.Bytes()}, nil
}

// Raw returns the document as it was sent.
func (d *Document) Raw() ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(d.Packed)), maxDocument))
	return raw, eris.Wrap(err, "unpack document")
}
