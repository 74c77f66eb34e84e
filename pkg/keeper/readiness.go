package keeper

import (
	"sync"

	"github.com/sesamemux/sesamemux/pkg/replica"
)

// readiness is the readiness probe of a keeper. A keeper is ready when it knows a leader and has
// applied the log that it held when it first knew one.
type readiness struct {
	status func() replica.Status

	mu          sync.Mutex
	targetIndex uint64 // index to apply; 0 until a leader is known
	caughtUp    bool
}

// ready implements introspect.ReadinessProbe.
func (r *readiness) ready() (bool, string) {
	st := r.status()
	switch {
	case st.ID == 0:
		return false, "the replica is stopped or not responding"
	case st.Handshaking:
		return false, "the quorum has not admitted this replica yet"
	case st.Leader == 0:
		return false, "no leader is known"
	case !r.hasCaughtUp(st):
		return false, "the replica is still applying its log"
	}
	return true, ""
}

// hasCaughtUp reports whether the replica has applied its log up to the target index.
func (r *readiness) hasCaughtUp(st replica.Status) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.targetIndex == 0 {
		r.targetIndex = max(st.Last, 1)
	}
	// Uncommitted entries may have been removed from the log since the target was set.
	if st.Applied >= min(r.targetIndex, max(st.Last, 1)) {
		r.caughtUp = true
	}
	return r.caughtUp
}
