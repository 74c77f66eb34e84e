package formation

import (
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// host is the planner's state of an engine host.
type host struct {
	fleet.Upstream
	lastAnnouncement time.Duration
	dead             bool   // failed a probe and has not announced itself since
	lastModel        string // model of the last group of this incarnation
	group            *group // group to which it is assigned
	openOrder        *Order // order without an answer yet
	noOrderBefore    time.Duration
	stagingModel     string        // model whose staging order was accepted
	stagingDue       time.Duration // when that staging should be complete
	leftEpoch        int64         // epoch of the group that it last confirmed to have left, 0 if it announced it later
	freeSince        time.Duration
	acceptedJoin     int64         // highest epoch of the joins that it accepted in this incarnation
	unansweredJoin   int64         // highest epoch of the joins that it may still carry out late
	unansweredAt     time.Duration // when the last of them was given
	fenced           bool          // it refuses the orders of former leaderships, in this incarnation
}

// mayJoinLate reports whether the host may still carry out an earlier join. It refuses joins whose
// epoch is lower than one that it accepted, but not a repetition of the last one.
func (p *Planner) mayJoinLate(now time.Duration, h *host) bool {
	if h.fenced && h.unansweredJoin < firstEpochOf(p.cfg.Term) {
		return false
	}
	return h.unansweredJoin > 0 && h.unansweredJoin >= h.acceptedJoin && now-h.unansweredAt <= lateOrderTime
}

// hasWeights reports whether the host has the weights of a model.
func (h *host) hasWeights(model string) bool { return slices.Contains(h.StagedModels, model) }

// inGroup reports whether the host announced membership of a group and has not confirmed leaving
// it since.
func (h *host) inGroup() bool { return h.Assignment != nil && h.Assignment.Epoch != h.leftEpoch }

// isElsewhere reports whether the host is to join a forming group but is in another one.
func (h *host) isElsewhere() bool {
	return h.group != nil && h.group.phase == forming && h.inGroup() && h.Assignment.Epoch != h.group.epoch
}

// joinTime returns how long the host takes to join a group of a model. ok is false if it has no
// weights of the model and may not load them.
func (h *host) joinTime(now time.Duration, m modelPlan, mayLoad bool) (time.Duration, bool) {
	switch {
	case h.lastModel == m.Name:
		return rejoinTime, true
	case h.hasWeights(m.Name):
		return m.WarmTime, true
	case h.stagingModel == m.Name:
		return max(h.stagingDue-now, 0) + m.WarmTime, true
	case mayLoad:
		return m.LoadTime, true
	}
	return 0, false
}
