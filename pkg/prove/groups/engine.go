package groups

import (
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// engine is a fake engine host.
type engine struct {
	host         view.Host
	status       report.Status
	fence        view.Epoch // highest fencing number seen
	loadLeft     time.Duration
	loadTime     time.Duration
	loadAllowed  bool
	weights      string // version and rank whose weights are loaded or loading
	up           bool   // accepts orders and reports
	downtimeLeft time.Duration
	restarts     bool          // restarts by itself after downtimeLeft
	keepsState   bool          // returns as the same process, with its role
	faultAt      time.Duration // time of its last fault
	heardAt      time.Duration // when its last report arrived
	reported     time.Duration // when its last report was made
	reportAt     time.Duration // when it reports next
}

// loadTime is how long an engine loads weights.
const loadTime = 4 * time.Second

func newEngine(h view.Host) *engine {
	return &engine{
		host:     h,
		loadTime: loadTime,
		up:       true,
		status:   report.Status{Incarnation: h.Incarnation, Phase: report.PhaseIdle},
		faultAt:  -time.Hour,
		heardAt:  -time.Hour,
	}
}

// execute carries out an order and reports whether the engine accepted it.
func (e *engine) execute(o order.Order) bool {
	if !e.up {
		return false
	}
	if e.host.ChecksFence && o.Fence < e.fence {
		return false
	}
	e.fence = max(e.fence, o.Fence)
	if o.Kind == order.KindRelease {
		e.status = report.Status{Incarnation: e.host.Incarnation, Phase: report.PhaseIdle}
		e.weights = ""
		return true
	}
	if !e.hasWeights(o) {
		e.weights = weightsOf(o)
		e.loadLeft = e.loadTime
	}
	e.loadAllowed = o.LoadAllowed
	e.status = report.Status{
		Incarnation: e.host.Incarnation,
		Group:       o.Group,
		Epoch:       o.Fence,
		Version:     o.Version,
		Adapters:    slices.Clone(o.Adapters),
		Rank:        o.Rank,
		Phase:       report.PhaseLoading,
	}
	e.updatePhase()
	return true
}

// hasWeights reports whether the engine has the order's weights or loads them.
func (e *engine) hasWeights(o order.Order) bool { return e.weights == weightsOf(o) }

func weightsOf(o order.Order) string { return o.Version + "/" + string(rune('0'+o.Rank)) }

// advance advances time for an engine that is up.
func (e *engine) advance(d time.Duration) {
	if e.status.Phase == report.PhaseLoading && e.loadAllowed {
		e.loadLeft -= d
	}
	e.updatePhase()
}

func (e *engine) updatePhase() {
	if e.status.Phase == report.PhaseLoading && e.loadLeft <= 0 {
		e.status.Phase = report.PhaseReady
	}
}

// restart replaces the engine by a new process without a role or weights.
func (e *engine) restart() {
	e.host.Incarnation++
	e.status = report.Status{Incarnation: e.host.Incarnation, Phase: report.PhaseIdle}
	e.fence = 0
	e.weights = ""
}
