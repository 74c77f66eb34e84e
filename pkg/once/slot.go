package once

import (
	"crypto/sha256"
	"encoding/binary"
)

// Slots is the fixed number of slots over which keys are distributed. A quorum owns whole slots,
// so that quorums can be added without splitting a key's history.
const Slots = 1024

// Slot returns the slot of a key, in [0, Slots).
func Slot(organisation, service, key string) int {
	return int(keyHash(organisation, service, key) % Slots)
}

// Quorum returns which of n quorums owns a slot when the slots are distributed evenly.
func Quorum(slot, n int) int { return slot * n / Slots }

// keyHash returns the first 8 bytes of a cryptographic digest of a key, so that no caller can make
// its keys collide with those of another.
func keyHash(organisation, service, key string) uint64 {
	h := sha256.New()
	for _, s := range []string{organisation, service, key} {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}
