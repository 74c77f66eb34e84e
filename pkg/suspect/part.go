package suspect

import "github.com/sesamemux/sesamemux/pkg/view"

// PartFingerprint identifies a part of a prompt by its ID. It is the same in all requests that hold
// the part, whoever sends them and whatever else they hold.
func PartFingerprint(id string) view.Fingerprint {
	return hashParts([]byte("part of a prompt"), []byte(id))
}
