package coordinator

import (
	"slices"
	"strconv"
	"time"

	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

const (
	// liveTimeout is the silence after which a replica does not count as live.
	liveTimeout = time.Second
	// suspectTimeout is the silence after which a replica may be gone: several heartbeats.
	suspectTimeout = 300 * time.Millisecond
)

// memberState is what the leader knows of one replica.
type memberState struct {
	raft.Member
	own      bool
	zone     string        // failure domain; empty if unknown
	silence  time.Duration // since the leader heard of the replica last
	caughtUp bool          // holds enough of the log to be promoted
	stopping bool          // its coordinator has said that it stops
}

// memberStates returns the replicas as this leader sees them.
func (c *Coordinator) memberStates(st raft.Status) []memberState {
	c.mu.Lock()
	defer c.mu.Unlock()
	members := make([]memberState, 0, len(st.Membership.Members))
	for _, m := range st.Membership.Members {
		s := memberState{Member: m, own: m.ID == st.ID}
		if s.own {
			s.zone = c.cfg.Zone
		} else if c.leadership != nil {
			s.zone, s.stopping = c.leadership.toldBy(c.now(), m)
		}
		if i := slices.IndexFunc(st.Followers, func(f raft.FollowerStatus) bool { return f.ID == m.ID }); i >= 0 {
			s.silence = time.Duration(st.Followers[i].SilentTicks) * replica.DefaultTickInterval
			s.caughtUp = st.Followers[i].CaughtUp
		}
		members = append(members, s)
	}
	return members
}

func silenceOf(members []memberState, id raft.ID) time.Duration {
	i := slices.IndexFunc(members, func(m memberState) bool { return m.ID == id })
	if i < 0 {
		return 0
	}
	return members[i].silence
}

// observeMembers updates the metrics of the replicas that this leader sees.
func (c *Coordinator) observeMembers(members []memberState) {
	c.metrics.Members.Reset()
	for _, role := range []string{"voter", "learner"} {
		for _, state := range []string{"live", "silent"} {
			c.metrics.Members.WithLabelValues(role, state).Set(0)
		}
	}
	for _, m := range members {
		state := "live"
		if m.silence > liveTimeout {
			state = "silent"
		}
		c.metrics.Members.WithLabelValues(roleOf(m.Member), state).Inc()
	}
}

func roleOf(m raft.Member) string {
	if m.Learner {
		return "learner"
	}
	return "voter"
}

// memberNames lists the replicas of a membership for the log, each as ID=address/role.
func memberNames(ms raft.Membership) []string {
	names := make([]string, 0, len(ms.Members))
	for _, m := range ms.Members {
		names = append(names, strconv.FormatUint(uint64(m.ID), 10)+"="+m.Address+"/"+roleOf(m))
	}
	return names
}
