package formation

import (
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// host is what the planner knows of one engine host.
type host struct {
	fleet.Upstream
	heard     time.Duration // last announcement
	dead      bool          // did not answer a probe; until it is heard again
	last      string        // model of its last group in this life
	group     *group        // that it is planned for
	order     *Order        // without an answer yet
	retryAt   time.Duration // no order before
	staging   string        // model whose staging was accepted
	stagedBy  time.Duration // when that staging should be over
	left      int64         // epoch of the group that it confirmed to have left
	freeSince time.Duration
}

// holds tells whether the weights of a model are on the host.
func (h *host) holds(model string) bool { return slices.Contains(h.StagedModels, model) }

// seated tells whether the host is in a group by its own word and has not
// confirmed to have left it.
func (h *host) seated() bool { return h.Assignment != nil && h.Assignment.Epoch != h.left }

// readyIn returns how long the host needs to join a group of a model, without
// a load when it has none of the weights and may not load; ok is false then.
func (h *host) readyIn(now time.Duration, m modelPlan, mayLoad bool) (time.Duration, bool) {
	switch {
	case h.last == m.Name:
		return rejoinTime, true
	case h.holds(m.Name):
		return m.WarmTime, true
	case h.staging == m.Name:
		return max(h.stagedBy-now, 0) + m.WarmTime, true
	case mayLoad:
		return m.LoadTime, true
	}
	return 0, false
}
