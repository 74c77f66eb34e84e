package serviceproxy

import (
	"sync"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// load counts this gate's calls in flight on each host.
type load struct {
	mu     sync.Mutex
	flight map[view.HostName]int
}

func newLoad() *load { return &load{flight: make(map[view.HostName]int)} }

func (l *load) add(h view.HostName, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flight[h] += n
	if l.flight[h] == 0 {
		delete(l.flight, h)
	}
}

func (l *load) of(h view.HostName) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.flight[h]
}
