package recordlog

import (
	"errors"

	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

// KillLeader ends the replica that was last known to lead, as a power cut
// does: what it has not synced is lost. It returns the replica, false if it
// was dead already.
func (q *Quorum) KillLeader() (raft.ID, bool) {
	id := q.first()
	q.mu.Lock()
	n := q.nodes[id]
	delete(q.nodes, id)
	q.mu.Unlock()
	if n == nil {
		return id, false
	}
	q.net.Attach(id, nil)
	q.disks[id].Crash()
	n.Stop()
	return id, true
}

// RestartReplica starts a killed replica from its disk.
func (q *Quorum) RestartReplica(id raft.ID) error {
	q.disks[id].Restart()
	return q.start(id)
}

// IsolateLeader cuts the replica that was last known to lead off from the others.
func (q *Quorum) IsolateLeader() {
	id := q.first()
	for _, p := range q.members {
		if p.ID != id {
			q.net.Isolate(id, p.ID)
		}
	}
}

// Heal joins all replicas again.
func (q *Quorum) Heal() { q.net.Heal() }

// Close ends all replicas.
func (q *Quorum) Close() error {
	q.mu.Lock()
	nodes := q.nodes
	q.nodes = make(map[raft.ID]*replica.Node)
	q.mu.Unlock()
	var errs []error
	for id, n := range nodes {
		q.net.Attach(id, nil)
		n.Stop()
		errs = append(errs, n.Err())
	}
	return errors.Join(errs...)
}
