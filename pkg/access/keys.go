package access

import (
	"crypto/sha256"
	"encoding/hex"
	"iter"

	"github.com/sesamemux/sesamemux/pkg/object"
)

// Keys knows the API keys of organisations by their digests. A look-up is by
// the digest of what was sent, so that its time tells nothing of a key.
type Keys struct {
	byDigest map[keyDigest]string
}

// keyDigest is the SHA-256 digest of one organisation's key.
type keyDigest [sha256.Size]byte

// NewKeys takes the digests of a set's organisations. Those without a key are
// left out.
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

// Organisation returns the organisation of an API key.
func (k *Keys) Organisation(key string) (string, bool) {
	name, ok := k.byDigest[sha256.Sum256([]byte(key))]
	return name, ok
}

// Digest returns the digest of an API key as objects hold it.
func Digest(key string) string {
	d := sha256.Sum256([]byte(key))
	return hex.EncodeToString(d[:])
}
