package coordinator

import (
	"slices"
	"time"
)

// relayTimeout is how long after its last sync an entry host is named to others as one that relays: one
// and a half times the longest time between syncs and the way of a report to the leader.
const relayTimeout = 1875 * time.Millisecond

// relayList holds the entry hosts that pass requests on to upstreams for others.
type relayList struct {
	revision  uint64   // 0: not collected yet
	addresses []string // sorted
}

// updateRelays collects the entry hosts that relay. missing is the number of entry hosts that this leader has
// not heard of yet.
func (l *leadership) updateRelays(now time.Duration, missing int) {
	addresses := l.formerRelays(now, missing)
	for _, p := range l.processes {
		if p.request.RelayAddress != "" && now-p.receivedAt < relayTimeout {
			addresses = append(addresses, p.request.RelayAddress)
		}
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	if l.relays.revision > 0 && slices.Equal(addresses, l.relays.addresses) {
		return
	}
	l.relays = relayList{l.relays.revision + 1, addresses}
}
