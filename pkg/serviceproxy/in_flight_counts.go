package serviceproxy

import (
	"sync"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// inFlightCounts holds the number of this gate's calls in flight on each host.
type inFlightCounts struct {
	mu     sync.Mutex
	counts map[view.HostName]int
}

func newInFlightCounts() *inFlightCounts { return &inFlightCounts{counts: make(map[view.HostName]int)} }

func (l *inFlightCounts) add(h view.HostName, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[h] += n
	if l.counts[h] == 0 {
		delete(l.counts, h)
	}
}

func (l *inFlightCounts) of(h view.HostName) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[h]
}
