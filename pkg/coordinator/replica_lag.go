package coordinator

import (
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// maxReplicaLag is how long the replica of a coordinator that answers entry hosts may be behind the leader.
// Changes wait longer than that for entry hosts to confirm them.
const maxReplicaLag = time.Second

// replicaLag measures for how long a replica has been behind the durable state that its leader told.
type replicaLag struct {
	index uint64 // of the log, as told
	since time.Duration
}

// told records the log index of the leader's durable state; held is the one of this replica.
func (l *replicaLag) told(now time.Duration, index, held uint64) {
	if held >= l.index {
		*l = replicaLag{index: index, since: now}
	}
}

// at returns the lag of a replica that holds the durable state of a log index.
func (l *replicaLag) at(now time.Duration, held uint64) time.Duration {
	if held >= l.index {
		return 0
	}
	return now - l.since
}

// heldIndex returns the log index of the durable state here.
func (c *Coordinator) heldIndex() uint64 {
	r := c.replica.Load()
	if r == nil {
		return 0
	}
	st, _ := r.store.State()
	return st.Index
}

// checkCurrent returns an error if other coordinators may have acknowledged changes that are not known
// at this one, which follows: the leader is silent, or the replica does not keep up, for example because
// of its disk. The caller holds the lock.
func (c *Coordinator) checkCurrent(f *following) error {
	now := c.now()
	if silent := now - f.heardAt; silent > maxLeaderSilence {
		return notCurrent("nothing was heard of the leader for ", silent)
	}
	if lag := f.lag.at(now, c.heldIndex()); lag > maxReplicaLag {
		return notCurrent("the replica has been behind the leader for ", lag)
	}
	return nil
}

func notCurrent(reason string, since time.Duration) error {
	return &jsonrpc2.Error{Code: control.CodeUnavailable, Message: reason + since.String()}
}

// observeLag updates the lag of this replica with a result of the leader, and turns waiting entry hosts
// away if it is too long. The caller holds the lock.
func (c *Coordinator) observeLag(now time.Duration, f *following, told uint64) {
	held := c.heldIndex()
	f.lag.told(now, told, held)
	lag := f.lag.at(now, held)
	c.metrics.ReplicaLag.Set(lag.Seconds())
	behind := lag > maxReplicaLag
	switch {
	case behind && !f.behind:
		c.cfg.Logger.Warn("replica fell behind the leader; turning entry hosts away", "index", held, "leader_index", f.lag.index, "lag_ms", lag.Milliseconds())
	case f.behind && !behind:
		c.cfg.Logger.Info("replica caught up with the leader; answering entry hosts again", "index", held)
	}
	f.behind = behind
	if behind {
		f.notifyChange()
	}
}
