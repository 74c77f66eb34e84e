package entry

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// linesPerSecond bounds the lines about requests; what is beyond is counted.
	linesPerSecond = 60
	// sampleOf is how many requests that went well have one line.
	sampleOf = 50
)

// lines writes one line for each request that did not go well, and for some
// that did, within a bound.
type lines struct {
	logger     *log.Logger
	suppressed prometheus.Counter

	mu     sync.Mutex
	second time.Duration
	count  int
	well   int
}

// allow tells whether a line may be written now.
func (l *lines) allow(now time.Duration, well bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if well {
		l.well++
		if l.well%sampleOf != 1 {
			return false
		}
	}
	if now-l.second >= time.Second {
		l.second = now
		l.count = 0
	}
	l.count++
	if l.count > linesPerSecond {
		l.suppressed.Inc()
		return false
	}
	return true
}
