package durable

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

// maxDocument limits the size of an unpacked document, in bytes.
const maxDocument = 16 << 20

// Document is a set of objects as the operator sent it, compressed. Routes resemble
// each other, so it shrinks to about a tenth, which saves the same factor of work in
// the log, between replicas and on the way to many entry hosts.
type Document struct {
	Version int64  `json:"version"`
	Packed  []byte `json:"packed"` // compressed by DEFLATE
}

// Pack returns the compressed document of a version.
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
