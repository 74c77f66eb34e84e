package suspect

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"strconv"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// passingFields are top-level fields of a JSON request that don't change what
// the upstream computes.
var passingFields = []string{"id", "request_id", "user", "metadata", "stream", "stream_options"}

// Fingerprint identifies what a request asks for, for one organisation. Of
// the transport only the path counts. JSON is brought into one form, so that
// spacing, the order of keys, spellings of numbers and request IDs make no
// difference.
func Fingerprint(organisation, path string, body []byte) view.Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(organisation), []byte(path), canonical(body)} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write(part)
	}
	return view.Fingerprint(hex.EncodeToString(h.Sum(nil)))
}

// canonical returns the one form of a JSON body, or the body itself if it is
// not JSON.
func canonical(body []byte) []byte {
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	var v any
	if d.Decode(&v) != nil || d.More() {
		return body
	}
	if o, ok := v.(map[string]any); ok {
		for _, f := range passingFields {
			delete(o, f)
		}
	}
	b, err := json.Marshal(plainNumbers(v))
	if err != nil {
		return body
	}
	return b
}

// plainNumbers replaces number literals by their values.
func plainNumbers(v any) any {
	switch x := v.(type) {
	case json.Number:
		return plainNumber(x)
	case []any:
		for i := range x {
			x[i] = plainNumbers(x[i])
		}
	case map[string]any:
		for k := range x {
			x[k] = plainNumbers(x[k])
		}
	}
	return v
}

func plainNumber(n json.Number) any {
	f, err := strconv.ParseFloat(string(n), 64)
	if err != nil {
		return n
	}
	if f == 0 {
		return 0.0 // also for -0
	}
	return f
}
