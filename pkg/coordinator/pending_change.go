package coordinator

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/durable"
)

// pendingChangeTTL is how long a change is remembered, so that its repeats are answered alike.
const pendingChangeTTL = 30 * time.Second

// pendingChange is a committed change that is not known to be in force everywhere.
type pendingChange struct {
	key         string
	committedAt time.Duration
	index       uint64 // of the log; entry hosts with a later state have the change
	version     int64  // of the document, -1 if it is none
	done        bool
}

// pendingChange returns the record of a change that is committed. The caller holds the lock.
func (l *leadership) pendingChange(now time.Duration, key string, version int64, store *durable.Store) *pendingChange {
	if p := l.changes[key]; p != nil {
		return p
	}
	for k, p := range l.changes {
		if now-p.committedAt > pendingChangeTTL {
			delete(l.changes, k)
		}
	}
	st, _ := store.State()
	p := &pendingChange{key: key, committedAt: now, index: st.Index, version: version}
	l.changes[key] = p
	return p
}
