package proxy

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/suspect"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Suspects decides whether requests that may crash upstreams can run. *suspect.Guard
// implements it.
type Suspects interface {
	Check(now time.Time, f view.Fingerprint) suspect.Decision
	OnTrial(host view.HostName) bool
	Start(now time.Time, f view.Fingerprint, organisation string, host view.HostName, inc view.Incarnation) (*suspect.Run, bool)
}
