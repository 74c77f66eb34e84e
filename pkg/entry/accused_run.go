package entry

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// accusedRun is a run that an upstream did not survive, or may not have survived.
type accusedRun struct {
	upstream    fleet.Upstream
	began       time.Duration // when the upstream was chosen
	ends        time.Duration // time limit that the upstream was given
	attempt     string        // of the client
	fingerprint view.Fingerprint
	parts       []view.Fingerprint
	trial       string // empty if the run was none
}

// sameRun reports whether both are the same run of a request at an upstream.
func (r accusedRun) sameRun(other accusedRun) bool {
	return r.attempt == other.attempt && r.began == other.began
}

// accusedRun returns the run of a placement. trial is the trial that it was, if any.
func (c *call) accusedRun(p *placement, trial string) accusedRun {
	return accusedRun{
		upstream: p.upstream, began: p.chosenAt, ends: c.deadline, attempt: c.r.Header.Get(c.gateway.cfg.Headers.Attempt),
		fingerprint: c.requestFingerprint(), parts: c.partFingerprints(), trial: trial,
	}
}
