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

// ignoredFields are top-level fields of a JSON request that don't change what the upstream
// computes.
var ignoredFields = []string{"id", "request_id", "user", "metadata", "stream", "stream_options"}

// Fingerprint identifies what a request asks for, for one organisation. Of the HTTP request only
// the path and the body count. JSON is brought into a canonical form, so that white space, the
// order of keys, the notation of numbers and request IDs make no difference.
func Fingerprint(organisation, path string, body []byte) view.Fingerprint {
	return hashParts([]byte(organisation), []byte(path), canonical(body))
}

// ExactFingerprint identifies a request by its organisation, host, path with query, and body,
// byte for byte. It serves where the format of bodies is not known.
func ExactFingerprint(organisation, host, path string, body []byte) view.Fingerprint {
	return hashParts([]byte(organisation), []byte(host), []byte(path), body)
}

func hashParts(parts ...[]byte) view.Fingerprint {
	h := sha256.New()
	for _, part := range parts {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write(part)
	}
	return view.Fingerprint(hex.EncodeToString(h.Sum(nil)))
}

// canonical returns the canonical form of a JSON body, or the body itself if it is not JSON.
func canonical(body []byte) []byte {
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	var v any
	if d.Decode(&v) != nil || d.More() {
		return body
	}
	if o, ok := v.(map[string]any); ok {
		for _, f := range ignoredFields {
			delete(o, f)
		}
	}
	b, err := json.Marshal(normaliseNumbers(v))
	if err != nil {
		return body
	}
	return b
}

// normaliseNumbers replaces number literals by their values.
func normaliseNumbers(v any) any {
	switch x := v.(type) {
	case json.Number:
		return normaliseNumber(x)
	case []any:
		for i := range x {
			x[i] = normaliseNumbers(x[i])
		}
	case map[string]any:
		for k := range x {
			x[k] = normaliseNumbers(x[k])
		}
	}
	return v
}

func normaliseNumber(n json.Number) any {
	f, err := strconv.ParseFloat(string(n), 64)
	if err != nil {
		return n
	}
	if f == 0 {
		return 0.0 // -0 equals 0
	}
	return f
}
