package groups

import (
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// engine is a fake engine member.
type engine struct {
	host     view.Host
	status   report.Status
	fence    view.Epoch // highest one seen
	loadLeft time.Duration
	loadTime time.Duration
	mayLoad  bool
	weights  string // version and rank in memory
	up       bool   // answers and reports
	deadFor  time.Duration
	returns  bool          // comes back by itself
	keeps    bool          // comes back as the same process
	faultAt  time.Duration // of its last fault
	heardAt  time.Duration // when its last report arrived
	reported time.Duration // when its last report was made
	reportAt time.Duration // when it reports next
}

// loadTime is how long an engine fetches weights.
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

// obey carries an order out. It tells whether the engine took it.
func (e *engine) obey(o order.Order) bool {
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
	if !e.fetches(o) {
		e.weights = weightsOf(o)
		e.loadLeft = e.loadTime
	}
	e.mayLoad = o.LoadAllowed
	e.status = report.Status{
		Incarnation: e.host.Incarnation,
		Group:       o.Group,
		Epoch:       o.Fence,
		Version:     o.Version,
		Adapters:    slices.Clone(o.Adapters),
		Rank:        o.Rank,
		Phase:       report.PhaseLoading,
	}
	e.follow()
	return true
}

// fetches tells whether the engine has the order's weights or fetches them.
func (e *engine) fetches(o order.Order) bool { return e.weights == weightsOf(o) }

func weightsOf(o order.Order) string { return o.Version + "/" + string(rune('0'+o.Rank)) }

// pass lets time pass for an engine that is up.
func (e *engine) pass(d time.Duration) {
	if e.status.Phase == report.PhaseLoading && e.mayLoad {
		e.loadLeft -= d
	}
	e.follow()
}

func (e *engine) follow() {
	if e.status.Phase == report.PhaseLoading && e.loadLeft <= 0 {
		e.status.Phase = report.PhaseReady
	}
}

// restart makes it a new process that has nothing.
func (e *engine) restart() {
	e.host.Incarnation++
	e.status = report.Status{Incarnation: e.host.Incarnation, Phase: report.PhaseIdle}
	e.fence = 0
	e.weights = ""
}
