package access

import (
	"crypto/sha256"
	"encoding/hex"
	"iter"

	"github.com/sesamemux/sesamemux/pkg/object"
)

// Keys maps the digests of API keys to organisations. A look-up uses the digest of the
// key that was sent, so its timing reveals nothing about the stored keys.
type Keys struct {
	byDigest map[keyDigest]string
}

// keyDigest is the SHA-256 digest of an API key.
type keyDigest [sha256.Size]byte

// NewKeys returns the keys of some organisations, without those that have no valid key
// digest.
func NewKeys(organisations iter.Seq[object.Organisation]) *Keys {
	k := &Keys{byDigest: make(map[keyDigest]string)}
	for o := range organisations {
		if d, ok := parseDigest(o.KeySHA256); ok {
			k.byDigest[d] = o.Name
		}
	}
	return k
}

func parseDigest(text string) (keyDigest, bool) {
	var d keyDigest
	if hex.DecodedLen(len(text)) != len(d) {
		return d, false
	}
	n, err := hex.Decode(d[:], []byte(text))
	return d, err == nil && n == len(d)
}

// Organisation returns the name of the organisation with an API key.
func (k *Keys) Organisation(key string) (string, bool) {
	name, ok := k.byDigest[sha256.Sum256([]byte(key))]
	return name, ok
}

// Digest returns the digest of an API key, in the form used in objects.
func Digest(key string) string {
	d := sha256.Sum256([]byte(key))
	return hex.EncodeToString(d[:])
}
