package coordinator

import (
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// countEntryHosts returns the number of entry hosts, at least that of the former leader while this one is
// new, and how many of them this one has not heard of yet. The caller holds the lock.
func (c *Coordinator) countEntryHosts(now time.Duration, l *leadership) (entries, missing int) {
	counted := 0
	for _, p := range l.processes {
		if p.request.EntryHost {
			counted++
		}
	}
	entries = c.entryHosts.Hear(now, l.session, counted)
	return entries, entries - counted
}

// usageOfAll adds up what the processes have told lately. While entry hosts are missing, heads have at
// least the requests that the former leader knew of.
func (l *leadership) usageOfAll(now time.Duration, missing int) control.FleetUsage {
	total := l.totalUsage(now)
	if missing > 0 && now-l.since < usageTTL {
		raise(total.Running, l.former.Running)
		raise(total.AwaitingFirstEvent, l.former.AwaitingFirstEvent)
	}
	return total
}

func raise(counts, least map[string]int) {
	for id, n := range least {
		counts[id] = max(counts[id], n)
	}
}

// formerRelays returns the entry hosts that relayed under the former leader, as long as they may just not
// have called this one yet.
func (l *leadership) formerRelays(now time.Duration, missing int) []string {
	if missing > 0 && now-l.since < relayTimeout {
		return slices.Clone(l.former.Relays)
	}
	return []string{}
}
