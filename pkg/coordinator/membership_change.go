package coordinator

import (
	"cmp"
	"time"

	"github.com/sesamemux/sesamemux/pkg/raft"
)

// membershipChange is at most one change of the membership.
type membershipChange struct {
	remove  raft.ID
	promote raft.ID
	cause   string
}

// nextMembershipChange determines the next change towards the intended number of live voters, spread over
// the failure domains. A voter is removed only if a live learner can replace it or if there are too many.
func nextMembershipChange(members []memberState, want int) membershipChange {
	voters, learners := splitMembers(members)
	silent := cmp.Or(mostSilent(voters, voterTimeout), stoppedVoter(voters))
	stopping, crowded := stoppingVoter(voters), crowdedVoter(voters)
	if learner, spreads := bestLearner(learners, voters); learner != 0 {
		switch {
		case len(voters) < want:
			return membershipChange{promote: learner, cause: "too few voters"}
		case silent != 0:
			return membershipChange{remove: silent, cause: "voter went silent and a learner can replace it"}
		case stopping != 0 && len(voters) == want:
			return membershipChange{promote: learner, cause: "voter stops and a learner can replace it"}
		case spreads && len(voters) == want && crowded != 0:
			return membershipChange{promote: learner, cause: "failure domain has no voter and another has several"}
		}
	}
	if len(voters) > want {
		switch {
		case silent != 0:
			return membershipChange{remove: silent, cause: "voter went silent and there are others"}
		case stopping != 0:
			return membershipChange{remove: stopping, cause: "voter stops and there are others"}
		case crowded != 0:
			return membershipChange{remove: crowded, cause: "failure domain has several voters"}
		}
	}
	if silent := mostSilent(learners, learnerTimeout); silent != 0 {
		return membershipChange{remove: silent, cause: "learner went silent"}
	}
	return membershipChange{}
}

func splitMembers(members []memberState) (voters, learners []memberState) {
	for _, m := range members {
		if m.Learner {
			learners = append(learners, m)
		} else {
			voters = append(voters, m)
		}
	}
	return voters, learners
}

// mostSilent returns the replica that has been silent for the longest time, if that exceeds a limit.
func mostSilent(members []memberState, limit time.Duration) raft.ID {
	found := raft.ID(0)
	for _, m := range members {
		if !m.own && m.silence > limit {
			found, limit = m.ID, m.silence
		}
	}
	return found
}

// stoppedVoter returns a voter that has gone silent after its coordinator said that it stops. It is removed
// before its replacement is promoted, as it would count in the quorum for that promotion.
func stoppedVoter(voters []memberState) raft.ID {
	for _, m := range voters {
		if !m.own && m.stopping && m.silence > suspectTimeout {
			return m.ID
		}
	}
	return 0
}

// stoppingVoter returns a voter whose coordinator has said that it stops.
func stoppingVoter(voters []memberState) raft.ID {
	for _, m := range voters {
		if !m.own && m.stopping {
			return m.ID
		}
	}
	return 0
}

// bestLearner returns the live learner that holds the log and whose failure domain has the fewest voters, and
// whether that domain is known and has none.
func bestLearner(learners, voters []memberState) (found raft.ID, spreads bool) {
	fewest := 0
	for _, m := range learners {
		if m.silence > liveTimeout || !m.caughtUp {
			continue
		}
		if n := votersIn(m.zone, voters); found == 0 || n < fewest {
			found, fewest, spreads = m.ID, n, n == 0 && m.zone != ""
		}
	}
	return found, spreads
}

// votersIn counts the voters of a failure domain that are not about to be replaced.
func votersIn(zone string, voters []memberState) int {
	n := 0
	for _, v := range voters {
		if zone != "" && v.zone == zone && v.silence <= voterTimeout && !v.stopping {
			n++
		}
	}
	return n
}

// crowdedVoter returns a voter that can be replaced from another failure domain, the newest one: its domain has
// another one, and no voter may be gone, since the learner might be there to replace that one.
func crowdedVoter(voters []memberState) raft.ID {
	found := raft.ID(0)
	for _, v := range voters {
		if v.silence > suspectTimeout {
			return 0
		}
		if !v.own && votersIn(v.zone, voters) > 1 {
			found = v.ID
		}
	}
	return found
}
