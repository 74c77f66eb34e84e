package groupday

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// ErrNotFormed says that not all groups worked before the day could start.
var ErrNotFormed = eris.New("not all groups formed")

const (
	orderEvery   = 2 * time.Second
	orderDelay   = 600 * time.Millisecond
	reportDelay  = 600 * time.Millisecond
	silenceBound = 3 * time.Second
	restartTime  = time.Minute
	viewDelay    = 1500 * time.Millisecond // until the barrier passes a revision
	workBound    = 15 * time.Second        // longest work on a draining group
	epochStart   = time.Hour               // virtual time at the start
	formBound    = 12 * time.Hour
)

// Simulation plays one day.
type Simulation struct {
	fleet   Fleet
	machine *group.Machine
	rng     *rand.Rand
	now     time.Duration
	rev     view.Revision
	members []*member
	byName  map[view.HostName]*member
	store   store
	agenda  agenda
	cost    DecisionCost
	drained map[view.GroupID]view.Epoch
	clock   func() time.Duration // of the machine that plays the day
}

// NewSimulation returns a day whose hosts are there and whose groups are to be
// formed. clock measures what decisions cost; nil measures nothing.
func NewSimulation(f Fleet, o group.Options, seed uint64, clock func() time.Duration) *Simulation {
	if clock == nil {
		clock = func() time.Duration { return 0 }
	}
	o.StoreRate, o.HostRate = f.StoreRate, f.HostRate
	d := &Simulation{
		fleet:   f,
		machine: group.NewMachine(o),
		rng:     rand.New(rand.NewPCG(seed, 3)),
		now:     epochStart,
		byName:  make(map[view.HostName]*member, f.Hosts()),
		store:   store{rate: float64(f.StoreRate), perHost: float64(f.HostRate), at: epochStart},
		drained: make(map[view.GroupID]view.Epoch),
		clock:   clock,
	}
	for n := range f.Hosts() {
		m := newMember(f.host(n))
		d.members = append(d.members, m)
		d.byName[m.host.Name] = m
		d.announce(m)
	}
	d.step(group.ObjectsPublished{Set: f.objects()})
	d.tick()
	d.giveOrders()
	return d
}

// FormGroups plays until all groups work and tells how long that took.
func (d *Simulation) FormGroups() (time.Duration, error) {
	start := d.now
	for d.now < start+formBound {
		d.runTo(d.now + time.Second)
		if s := d.machine.Stats(); s.TakingWork == s.Wanted {
			return d.now - start, nil
		}
	}
	return 0, ErrNotFormed
}

// RunDay plays the faults of a day and gives what it cost.
func (d *Simulation) RunDay(t FaultCounts, seed uint64) DayResult {
	start := d.now
	before := d.machine.Stats()
	d.cost = DecisionCost{}
	for _, s := range t.strikes(d.fleet, seed) {
		d.agenda.add(start+s.at, func() { d.strike(s) })
	}
	d.runTo(start + day)
	return newResult(before, d.machine.Stats(), d.cost)
}

// Machine gives the machine, to be read.
func (d *Simulation) Machine() *group.Machine { return d.machine }

// PublishVersion asks for a version from now on.
func (d *Simulation) PublishVersion(version string) {
	set := d.fleet.objects()
	set.ModelGroups[0].Version = version
	d.step(group.ObjectsPublished{Set: set})
}

// SetDomainDrained takes a failure domain out or back in.
func (d *Simulation) SetDomainDrained(name string, out bool) {
	d.step(group.DrainChanged{Kind: view.DrainFailureDomain, Name: name, Drained: out})
}

// RunFor lets time pass.
func (d *Simulation) RunFor(t time.Duration) { d.runTo(d.now + t) }

// runTo does all that is to be done up to a time.
func (d *Simulation) runTo(end time.Duration) {
	for {
		at, ok := d.agenda.next()
		loaded, loading := d.store.next()
		if loading && loaded <= end && (!ok || loaded <= at) {
			d.move(loaded)
			d.finishLoads()
			continue
		}
		if !ok || at > end {
			break
		}
		d.move(at)
		d.agenda.take().do()
	}
	d.move(end)
}

// move lets time pass up to a time.
func (d *Simulation) move(at time.Duration) {
	if at <= d.now {
		return
	}
	d.now = at
	d.store.advance(at)
}

func (d *Simulation) finishLoads() {
	for {
		f, ok := d.store.ended()
		if !ok {
			return
		}
		f.member.finish()
		d.report(f.member)
	}
}

// step gives the machine an event.
func (d *Simulation) step(ev group.Event) {
	d.rev++
	begun := d.clock()
	changes := d.machine.Step(view.Time(d.now), d.rev, ev)
	d.cost.add(ev, d.clock()-begun)
	for _, c := range changes {
		if put, ok := c.(group.PutGroup); ok {
			d.noteDraining(put.Group)
		}
	}
	if len(changes) > 0 {
		rev := d.rev
		d.agenda.add(d.now+viewDelay, func() { d.step(group.BarrierPassed{Revision: rev}) })
	}
}

// noteDraining lets work on a draining group end after a while.
func (d *Simulation) noteDraining(g view.Group) {
	if !g.Draining || d.drained[g.ID] == g.Epoch {
		return
	}
	d.drained[g.ID] = g.Epoch
	d.agenda.add(d.now+viewDelay+upTo(d.rng, workBound), func() {
		delete(d.drained, g.ID)
		d.step(group.GroupSettled{ID: g.ID, Epoch: g.Epoch})
	})
}

// tick lets the machine know that time passes.
func (d *Simulation) tick() {
	d.step(group.Ticked{})
	d.agenda.add(d.now+time.Second, d.tick)
}

// giveOrders delivers the orders that are due.
func (d *Simulation) giveOrders() {
	for _, o := range d.machine.Orders(view.Time(d.now)) {
		d.agenda.add(d.now+upTo(d.rng, orderDelay), func() { d.deliver(o) })
	}
	d.agenda.add(d.now+orderEvery, d.giveOrders)
}

func (d *Simulation) deliver(o order.Order) {
	m := d.byName[o.Host]
	if !m.up() || m.host.Incarnation != o.Incarnation {
		return
	}
	m.obey(o, &d.store)
	d.report(m)
}

// report sends a member's status, which arrives a little later.
func (d *Simulation) report(m *member) {
	s := m.status
	d.agenda.add(d.now+upTo(d.rng, reportDelay), func() {
		if m.up() && s.Incarnation == m.host.Incarnation && d.machine.NeedsReport(m.host.Name, m.status) {
			d.step(group.StatusReported{Host: m.host.Name, Status: m.status})
		}
	})
}

// announce makes a member known.
func (d *Simulation) announce(m *member) {
	d.step(group.HostSeen{Host: m.host})
	d.step(group.StatusReported{Host: m.host.Name, Status: m.status})
}

// strike lets a fault happen.
func (d *Simulation) strike(s strike) {
	m := d.members[s.host]
	m.downs++
	m.fault++
	m.fresh = m.fresh || s.kind != pauses
	fault := m.fault
	d.agenda.add(d.now+silenceBound, func() { d.noticeSilence(m, fault) })
	d.agenda.add(d.now+s.away, func() { d.comeBack(m) })
}

func (d *Simulation) noticeSilence(m *member, fault int) {
	if m.up() || m.fault != fault {
		return
	}
	d.step(group.HostLost{Host: m.host.Name, Incarnation: m.host.Incarnation})
	m.silent = true
}

func (d *Simulation) comeBack(m *member) {
	m.downs--
	if !m.up() {
		return
	}
	if m.fresh {
		m.restart(&d.store)
	}
	if m.fresh || m.silent {
		d.announce(m)
	}
	m.fresh, m.silent = false, false
}

// RestartDomain restarts all hosts of a failure domain.
func (d *Simulation) RestartDomain(name string) {
	for n, m := range d.members {
		if m.host.FailureDomain == name {
			d.strike(strike{host: n, kind: restarts, away: restartTime})
		}
	}
}
