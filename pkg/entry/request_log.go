package entry

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxLinesPerSecond bounds the request log; suppressed lines are counted.
	maxLinesPerSecond = 60
	// successSampleInterval is the number of successful requests per log line.
	successSampleInterval = 50
)

// requestLog limits request logging: one line per unsuccessful request and a sample of the
// successful ones, up to maxLinesPerSecond.
type requestLog struct {
	logger     *log.Logger
	suppressed prometheus.Counter

	mu          sync.Mutex
	windowStart time.Duration
	count       int
	successes   int
}

// allow reports whether a line may be written now.
func (l *requestLog) allow(now time.Duration, success bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if success {
		l.successes++
		if l.successes%successSampleInterval != 1 {
			return false
		}
	}
	if now-l.windowStart >= time.Second {
		l.windowStart = now
		l.count = 0
	}
	l.count++
	if l.count > maxLinesPerSecond {
		l.suppressed.Inc()
		return false
	}
	return true
}
