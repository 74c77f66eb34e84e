package group

import (
	"cmp"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/group/repair"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Machine decides the life of all groups. It is not safe for concurrent use.
type Machine struct {
	opts Options

	// Replicated state.
	now     view.Time
	barrier view.Revision
	epoch   view.Epoch // highest one given
	models  map[string]*model
	numbers map[string]uint64 // last instance number by model group name
	hosts   map[view.HostName]*host
	groups  map[view.GroupID]*group
	drains  map[drainKey]bool
	returns repair.ReturnHistory
	account account

	// Derived from it.
	rev       view.Revision // of the running step
	domains   map[string]*domain
	unsettled map[view.HostName]*host // to which orders are due
	cold      map[string]bool         // fabric domains with free hosts that hold no weights
	idle      map[view.HostName]*host // spares whose load the schedule holds back
	spares    map[view.HostName]*host // free hosts that hold weights or are to
	waiting   map[view.GroupID]int    // members whose load the schedule holds back
	running   map[view.HostName]*host // hosts that may fetch
	active    map[view.GroupID]*group // to look at as time passes
	behind    map[view.GroupID]*group // wait for the barrier
	touched   map[view.GroupID]*group // to look at in this step
	altered   []*group                // in this step
	deleted   []view.GroupID          // in this step
	present   int                     // engine hosts that are there and not drained
	busy      int                     // of these, members of groups that take work
}

// NewMachine returns a machine without objects or hosts.
func NewMachine(o Options) *Machine {
	m := &Machine{opts: o.withDefaults()}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.models = make(map[string]*model)
	m.numbers = make(map[string]uint64)
	m.hosts = make(map[view.HostName]*host)
	m.groups = make(map[view.GroupID]*group)
	m.drains = make(map[drainKey]bool)
	m.domains = make(map[string]*domain)
	m.unsettled = make(map[view.HostName]*host)
	m.waiting = make(map[view.GroupID]int)
	m.running = make(map[view.HostName]*host)
	m.cold = make(map[string]bool)
	m.idle = make(map[view.HostName]*host)
	m.spares = make(map[view.HostName]*host)
	m.active = make(map[view.GroupID]*group)
	m.behind = make(map[view.GroupID]*group)
	m.touched = make(map[view.GroupID]*group)
	m.deleted = nil
	m.present, m.busy = 0, 0
}

// Step takes one event of the log. now never decreases; rev is the view
// revision at which the changes will be published, and never decreases.
func (m *Machine) Step(now view.Time, rev view.Revision, ev Event) []Change {
	m.advance(now)
	m.rev = rev
	m.apply(ev)
	m.evaluateTouched()
	m.scheduleLoads()
	return m.flush()
}

func (m *Machine) apply(ev Event) {
	switch e := ev.(type) {
	case ObjectsPublished:
		m.publishObjects(e.Set)
	case HostSeen:
		m.hostSeen(e.Host)
	case HostLost:
		m.hostLost(e.Host, e.Incarnation)
	case StatusReported:
		m.statusReported(e.Host, e.Status)
	case SlownessReported:
		m.slownessSeen(e)
	case DrainChanged:
		m.drainChanged(e)
	case BarrierPassed:
		m.barrierPassed(e.Revision)
	case GroupSettled:
		m.groupSettled(e.ID, e.Epoch)
	case Ticked:
		m.ticked()
	}
}

// nextEpoch gives a fencing number that was never given before.
func (m *Machine) nextEpoch() view.Epoch {
	m.epoch++
	return m.epoch
}

// passed tells whether a revision is in force on every gate that may take
// work.
func (m *Machine) passed(r view.Revision) bool {
	return r <= m.barrier || m.opts.Unsafe.NoBarrier
}

func (m *Machine) barrierPassed(r view.Revision) {
	if r <= m.barrier {
		return
	}
	m.barrier = r
	for _, g := range m.behind {
		if m.passed(g.LeftAt) {
			m.touch(g)
		}
	}
}

func (m *Machine) groupSettled(id view.GroupID, epoch view.Epoch) {
	g := m.groups[id]
	if g == nil || g.Epoch != epoch || !g.draining() {
		return
	}
	g.Settled = true
	m.touch(g)
}

func (m *Machine) ticked() {
	for _, g := range m.active {
		m.touch(g)
	}
	m.evaluateTouched()
	m.plan()
}

// touch has a group looked at before the step ends.
func (m *Machine) touch(g *group) { m.touched[g.ID] = g }

// touchID touches the group of an ID if there is one.
func (m *Machine) touchID(id view.GroupID) {
	if g := m.groups[id]; g != nil {
		m.touch(g)
	}
}

// evaluationRounds bounds the work of one step. Groups that need more are
// looked at again with the next tick.
const evaluationRounds = 32

// evaluateTouched looks at touched groups, in order, until none is left.
func (m *Machine) evaluateTouched() {
	defer clear(m.touched)
	for round := 0; len(m.touched) > 0 && round < evaluationRounds; round++ {
		batch := make([]*group, 0, len(m.touched))
		for _, g := range m.touched {
			batch = append(batch, g)
		}
		clear(m.touched)
		slices.SortFunc(batch, byID)
		for _, g := range batch {
			if m.groups[g.ID] == g {
				m.evaluate(g)
			}
		}
	}
}

// flush gives the changes of this step in order.
func (m *Machine) flush() []Change {
	var changes []Change
	for _, g := range m.changedGroups() {
		changes = append(changes, PutGroup{Group: g.published()})
		g.changed = false
	}
	slices.Sort(m.deleted)
	for _, id := range m.deleted {
		changes = append(changes, DeleteGroup{ID: id})
	}
	m.deleted = nil
	return changes
}

func byID(a, b *group) int { return cmp.Compare(a.ID, b.ID) }

func byName(a, b *host) int { return cmp.Compare(a.Info.Name, b.Info.Name) }
