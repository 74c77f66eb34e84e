package keeper

import (
	"sync"

	"github.com/sesamemux/sesamemux/pkg/replica"
)

// readiness tells whether a keeper can do its work: it knows a leader and has
// applied the log that it had when it first knew one.
type readiness struct {
	status func() replica.Status

	mu       sync.Mutex
	target   uint64 // index to apply; 0 before a leader was known
	caughtUp bool
}

// ready implements introspect.ReadinessProbe.
func (r *readiness) ready() (bool, string) {
	st := r.status()
	switch {
	case st.ID == 0:
		return false, "the replica has stopped"
	case st.Handshaking:
		return false, "the quorum has not told yet what this replica may do"
	case st.Leader == 0:
		return false, "no leader is known"
	case !r.applied(st):
		return false, "the log is being applied"
	}
	return true, ""
}

// applied tells whether the log was once applied as far as it went.
func (r *readiness) applied(st replica.Status) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.target == 0 {
		r.target = max(st.Last, 1)
	}
	// What was never committed may have left the log since.
	if st.Applied >= min(r.target, max(st.Last, 1)) {
		r.caughtUp = true
	}
	return r.caughtUp
}
