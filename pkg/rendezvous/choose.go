package rendezvous

import "hash/fnv"

// Choose returns the candidate for a name, an empty string if there is none.
func Choose(name string, candidates []string) string {
	best, highest := "", uint64(0)
	for _, c := range candidates {
		if r := rank(c, name); best == "" || r > highest {
			best, highest = c, r
		}
	}
	return best
}

func rank(candidate, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(candidate + "/" + name))
	return mix(h.Sum64())
}

// mix spreads the differences between similar names over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
