package recordlog

import (
	"errors"

	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

// KillLeader kills the replica last known as the leader, as a power failure does:
// data that is not synced is lost. It returns the replica's ID, and false if the
// replica was already dead.
func (q *Quorum) KillLeader() (raft.ID, bool) {
	id := q.preferred()
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

// IsolateLeader isolates the replica last known as the leader from the others.
func (q *Quorum) IsolateLeader() {
	id := q.preferred()
	for _, p := range q.members {
		if p.ID != id {
			q.net.Isolate(id, p.ID)
		}
	}
}

// Heal reconnects all replicas.
func (q *Quorum) Heal() { q.net.Heal() }

// Close stops all replicas.
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
