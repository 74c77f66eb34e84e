package suspect

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// Run is one request on one upstream.
type Run struct {
	guard        *Guard
	fingerprint  view.Fingerprint
	organisation string
	host         view.HostName
	incarnation  view.Incarnation
	trial        bool
	ended        bool
	at           time.Time // of its end
}

// Trial tells whether it runs as a suspect.
func (r *Run) Trial() bool { return r.trial }

// End notes how it ended. Later calls change nothing.
func (r *Run) End(now time.Time, how RunResult) { r.guard.end(now, r, how) }
