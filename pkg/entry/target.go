package entry

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// target is an upstream with what this entry host knows of it. Its fields are
// guarded by the balancer's lock.
type target struct {
	fleet.Upstream
	missing time.Duration // since a settled leader did not name it; 0: it did

	running  int // own requests
	unread   int // own requests from which nothing has come yet
	others   int // requests of other entry hosts, as last told
	othersUn int // those of them from which nothing has come yet
	lastByte time.Duration
	busyFrom time.Duration   // when the first of the running requests was sent
	starts   []time.Duration // own requests sent in the last second

	coldUntil time.Duration // it may be cold until then

	suspectUntil time.Duration
	suspectedAt  time.Duration // last time
	alarms       int           // suspicions of this head after which it sent again
	backoffUntil time.Duration
	failures     int     // in a row
	errorRate    float64 // smoothed share of failed answers
	slowness     float64 // smoothed time between events against the expected one
}

// total returns the requests that run at the upstream.
func (t *target) total() int { return t.running + t.others }

// startsNow returns the own requests sent within the last second.
func (t *target) startsNow(now time.Duration) int {
	kept := t.starts[:0]
	for _, s := range t.starts {
		if now-s < time.Second {
			kept = append(kept, s)
		}
	}
	t.starts = kept
	return len(kept)
}

// silence returns for how long something was due and nothing came.
func (t *target) silence(now time.Duration) time.Duration {
	return now - max(t.lastByte, t.busyFrom)
}
