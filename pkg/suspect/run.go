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
	endedAt      time.Time // time of the end
}

// Trial reports whether the request runs as a suspect.
func (r *Run) Trial() bool { return r.trial }

// End records how the run ended. Later calls have no effect.
func (r *Run) End(now time.Time, how RunResult) { r.guard.end(now, r, how) }
