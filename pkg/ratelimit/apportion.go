package ratelimit

import (
	"cmp"
	"maps"
	"slices"
)

// equalShare is the part of a limit that is divided evenly, so that a process whose demand grows has
// something until the others know.
const equalShare = 0.2

const keepFactor = 2

// Apportion divides a limit in requests a second among processes by what they want to send, in
// requests a second. It returns the share of each; they sum up to 1. A small limit goes to the
// processes that want most: each of them may send a request before the others know. Those that had a
// share before keep it unless others want keepFactor times as much, since what a process has saved up
// for its next request is lost with the share.
func Apportion(perSecond float64, wanted, before map[string]float64) map[string]float64 {
	rank := func(name string) float64 {
		if before[name] > 0 {
			return keepFactor * wanted[name]
		}
		return wanted[name]
	}
	names := slices.SortedFunc(maps.Keys(wanted), func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a, b))
	})
	names = names[:min(len(names), MaxSenders(perSecond))]
	total := 0.0
	for _, name := range names {
		total += wanted[name]
	}
	shares := make(map[string]float64, len(names))
	for _, name := range names {
		even := 1 / float64(len(names))
		shares[name] = even
		if total > 0 {
			shares[name] = equalShare*even + (1-equalShare)*wanted[name]/total
		}
	}
	return shares
}

// MaxSenders returns how many processes may send to an upstream with a limit in requests a second.
func MaxSenders(perSecond float64) int { return 2 + int(perSecond) }

// Burst returns how many requests may be sent at once by a process with a part of a limit, in
// requests a second.
func Burst(perSecond float64) float64 { return 1 + perSecond/2 }
