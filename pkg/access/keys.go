package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/sesamemux/sesamemux/pkg/object"
)

// Keys knows the API keys of organisations by their digests.
type Keys struct {
	entries []keyEntry
}

// keyEntry is the digest of one organisation's key.
type keyEntry struct {
	organisation string
	digest       [sha256.Size]byte
}

// NewKeys takes the digests of a set's organisations. Those without a key are
// left out.
func NewKeys(organisations []object.Organisation) *Keys {
	k := &Keys{}
	for _, o := range organisations {
		var e keyEntry
		n, err := hex.Decode(e.digest[:], []byte(o.KeySHA256[:min(len(o.KeySHA256), 2*sha256.Size)]))
		if err != nil || n != sha256.Size {
			continue
		}
		e.organisation = o.Name
		k.entries = append(k.entries, e)
	}
	return k
}

// Organisation returns the organisation of an API key. It compares with every
// digest, in a time that doesn't tell how far a wrong key was right.
func (k *Keys) Organisation(key string) (string, bool) {
	digest := sha256.Sum256([]byte(key))
	found := -1
	for i, e := range k.entries {
		equal := subtle.ConstantTimeCompare(digest[:], e.digest[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return "", false
	}
	return k.entries[found].organisation, true
}

// Digest returns the digest of an API key as objects hold it.
func Digest(key string) string {
	d := sha256.Sum256([]byte(key))
	return hex.EncodeToString(d[:])
}
