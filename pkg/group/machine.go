package group

import (
	"cmp"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/group/repair"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Machine manages the life cycle of all groups. It is not safe for concurrent use.
type Machine struct {
	opts Options

	// Replicated state.
	now     view.Time
	barrier view.Revision
	epoch   view.Epoch // highest epoch issued
	models  map[string]*model
	numbers map[string]uint64 // last instance number, by model group name
	hosts   map[view.HostName]*host
	groups  map[view.GroupID]*group
	drains  map[drainKey]bool
	returns repair.ReturnHistory
	account account

	// Derived from the replicated state.
	rev             view.Revision // of the current step
	domains         map[string]*domain
	ordersDue       map[view.HostName]*host // hosts to which an order is due
	coldDomains     map[string]bool         // fabric domains with free hosts that hold no weights
	waitingSpares   map[view.HostName]*host // spares whose loads the schedule holds back
	spares          map[view.HostName]*host // free hosts that hold weights or are to load them
	waitingLoads    map[view.GroupID]int    // number of members whose loads the schedule holds back
	loadingHosts    map[view.HostName]*host // hosts that may load
	unsteady        map[view.GroupID]*group // evaluated on each tick
	awaitingBarrier map[view.GroupID]*group // waiting for the barrier to pass StopRevision
	dirty           map[view.GroupID]*group // to be evaluated in this step
	changed         []*group                // in this step
	deleted         []view.GroupID          // in this step
	availableHosts  int                     // engine hosts that are there and not drained
	servingHosts    int                     // of these, members of groups that take work
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
	m.ordersDue = make(map[view.HostName]*host)
	m.waitingLoads = make(map[view.GroupID]int)
	m.loadingHosts = make(map[view.HostName]*host)
	m.coldDomains = make(map[string]bool)
	m.waitingSpares = make(map[view.HostName]*host)
	m.spares = make(map[view.HostName]*host)
	m.unsteady = make(map[view.GroupID]*group)
	m.awaitingBarrier = make(map[view.GroupID]*group)
	m.dirty = make(map[view.GroupID]*group)
	m.deleted = nil
	m.availableHosts, m.servingHosts = 0, 0
}

// Step takes one event of the log. now never decreases; rev is the view
// revision at which the changes will be published, and never decreases.
func (m *Machine) Step(now view.Time, rev view.Revision, ev Event) []Change {
	m.advance(now)
	m.rev = rev
	m.apply(ev)
	m.evaluateDirty()
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

// nextEpoch returns a fencing number that has never been issued before.
func (m *Machine) nextEpoch() view.Epoch {
	m.epoch++
	return m.epoch
}

// barrierReached reports whether a revision is in force on every gate that may take work.
func (m *Machine) barrierReached(r view.Revision) bool {
	return r <= m.barrier || m.opts.Unsafe.NoBarrier
}

func (m *Machine) barrierPassed(r view.Revision) {
	if r <= m.barrier {
		return
	}
	m.barrier = r
	for _, g := range m.awaitingBarrier {
		if m.barrierReached(g.StopRevision) {
			m.markDirty(g)
		}
	}
}

func (m *Machine) groupSettled(id view.GroupID, epoch view.Epoch) {
	g := m.groups[id]
	if g == nil || g.Epoch != epoch || !g.draining() {
		return
	}
	g.Settled = true
	m.markDirty(g)
}

func (m *Machine) ticked() {
	for _, g := range m.unsteady {
		m.markDirty(g)
	}
	m.evaluateDirty()
	m.plan()
}

// markDirty schedules a group to be evaluated before the step ends.
func (m *Machine) markDirty(g *group) { m.dirty[g.ID] = g }

// markDirtyID marks the group with an ID, if there is one.
func (m *Machine) markDirtyID(id view.GroupID) {
	if g := m.groups[id]; g != nil {
		m.markDirty(g)
	}
}

// evaluationRounds limits the work of one step. Groups that need more rounds are evaluated again
// on the next tick.
const evaluationRounds = 32

// evaluateDirty evaluates marked groups, in order, until none is left.
func (m *Machine) evaluateDirty() {
	defer clear(m.dirty)
	for round := 0; len(m.dirty) > 0 && round < evaluationRounds; round++ {
		batch := make([]*group, 0, len(m.dirty))
		for _, g := range m.dirty {
			batch = append(batch, g)
		}
		clear(m.dirty)
		slices.SortFunc(batch, byID)
		for _, g := range batch {
			if m.groups[g.ID] == g {
				m.evaluate(g)
			}
		}
	}
}

// flush returns the changes of this step in order.
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
