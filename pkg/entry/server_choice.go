package entry

import "hash/fnv"

// chooseServer chooses the coordinator that answers an entry host, an empty string if there is none to
// choose from. The choice spreads entry hosts evenly and changes for few of them when the coordinators
// change.
func chooseServer(entryHost string, servers []string) string {
	best, highest := "", uint64(0)
	for _, s := range servers {
		h := fnv.New64a()
		_, _ = h.Write([]byte(s + "/" + entryHost))
		if rank := mix(h.Sum64()); best == "" || rank > highest {
			best, highest = s, rank
		}
	}
	return best
}

// mix spreads the differences of similar names over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
