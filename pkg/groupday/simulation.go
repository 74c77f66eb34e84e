package groupday

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// ErrNotFormed reports that not all groups took work within the formation timeout.
var ErrNotFormed = eris.New("not all groups took work within the formation timeout of 12 h")

const (
	orderInterval    = 2 * time.Second
	maxOrderDelay    = 600 * time.Millisecond
	maxReportDelay   = 600 * time.Millisecond
	silenceTimeout   = 3 * time.Second
	restartDuration  = time.Minute
	barrierDelay     = 1500 * time.Millisecond // from a change until the barrier passes its revision
	maxWorkTime      = 15 * time.Second        // longest time that work on a draining group goes on
	startTime        = time.Hour               // virtual time at which a simulation starts
	formationTimeout = 12 * time.Hour
)

// Simulation runs a fleet and the group machine in virtual time.
type Simulation struct {
	fleet          Fleet
	machine        *group.Machine
	rng            *rand.Rand
	now            time.Duration
	revision       view.Revision
	members        []*member
	membersByName  map[view.HostName]*member
	store          weightsStore
	queue          eventQueue
	cost           DecisionCost
	drainingEpochs map[view.GroupID]view.Epoch
	wallClock      func() time.Duration // real time, which measures the cost of decisions
}

// NewSimulation returns a simulation in which all hosts are announced and no group is formed yet.
// clock measures the time that decisions take; nil measures nothing.
func NewSimulation(f Fleet, o group.Options, seed uint64, clock func() time.Duration) *Simulation {
	if clock == nil {
		clock = func() time.Duration { return 0 }
	}
	o.StoreRate, o.HostRate = f.StoreRate, f.HostRate
	d := &Simulation{
		fleet:          f,
		machine:        group.NewMachine(o),
		rng:            rand.New(rand.NewPCG(seed, 3)),
		now:            startTime,
		membersByName:  make(map[view.HostName]*member, f.Hosts()),
		store:          weightsStore{totalRate: float64(f.StoreRate), hostRate: float64(f.HostRate), updatedAt: startTime},
		drainingEpochs: make(map[view.GroupID]view.Epoch),
		wallClock:      clock,
	}
	for n := range f.Hosts() {
		m := newMember(f.host(n))
		d.members = append(d.members, m)
		d.membersByName[m.host.Name] = m
		d.announce(m)
	}
	d.step(group.ObjectsPublished{Set: f.objects()})
	d.tick()
	d.sendOrders()
	return d
}

// FormGroups runs until all groups take work and returns the virtual time that this took.
func (d *Simulation) FormGroups() (time.Duration, error) {
	start := d.now
	for d.now < start+formationTimeout {
		d.runTo(d.now + time.Second)
		if s := d.machine.Stats(); s.TakingWork == s.Wanted {
			return d.now - start, nil
		}
	}
	return 0, ErrNotFormed
}

// RunDay runs one day with the given faults and returns its result.
func (d *Simulation) RunDay(t FaultCounts, seed uint64) DayResult {
	start := d.now
	before := d.machine.Stats()
	d.cost = DecisionCost{}
	for _, s := range t.drawFaults(d.fleet, seed) {
		d.queue.schedule(start+s.at, func() { d.startFault(s) })
	}
	d.runTo(start + dayLength)
	return newResult(before, d.machine.Stats(), d.cost)
}

// Machine returns the group machine. Callers only read it.
func (d *Simulation) Machine() *group.Machine { return d.machine }

// PublishVersion changes the wanted version of the model group.
func (d *Simulation) PublishVersion(version string) {
	set := d.fleet.objects()
	set.ModelGroups[0].Version = version
	d.step(group.ObjectsPublished{Set: set})
}

// SetDomainDrained drains a failure domain or ends its drain.
func (d *Simulation) SetDomainDrained(name string, drained bool) {
	d.step(group.DrainChanged{Kind: view.DrainFailureDomain, Name: name, Drained: drained})
}

// RunFor advances virtual time by t.
func (d *Simulation) RunFor(t time.Duration) { d.runTo(d.now + t) }

// runTo runs all events and ends all loads that are due up to end.
func (d *Simulation) runTo(end time.Duration) {
	for {
		at, ok := d.queue.nextTime()
		loaded, loading := d.store.nextEnd()
		if loading && loaded <= end && (!ok || loaded <= at) {
			d.advanceTo(loaded)
			d.completeLoads()
			continue
		}
		if !ok || at > end {
			break
		}
		d.advanceTo(at)
		d.queue.pop().run()
	}
	d.advanceTo(end)
}

// advanceTo sets the virtual time and the progress of the weights store. It never goes back.
func (d *Simulation) advanceTo(at time.Duration) {
	if at <= d.now {
		return
	}
	d.now = at
	d.store.advance(at)
}

func (d *Simulation) completeLoads() {
	for {
		f, ok := d.store.popEnded()
		if !ok {
			return
		}
		f.member.completeLoad()
		d.report(f.member)
	}
}

// step passes an event to the machine. When the event changes the view, the barrier passes the
// new revision barrierDelay later.
func (d *Simulation) step(ev group.Event) {
	d.revision++
	begun := d.wallClock()
	changes := d.machine.Step(view.Time(d.now), d.revision, ev)
	d.cost.record(ev, d.wallClock()-begun)
	for _, c := range changes {
		if put, ok := c.(group.PutGroup); ok {
			d.scheduleSettled(put.Group)
		}
	}
	if len(changes) > 0 {
		rev := d.revision
		d.queue.schedule(d.now+barrierDelay, func() { d.step(group.BarrierPassed{Revision: rev}) })
	}
}

// scheduleSettled schedules the end of the work on a draining group.
func (d *Simulation) scheduleSettled(g view.Group) {
	if !g.Draining || d.drainingEpochs[g.ID] == g.Epoch {
		return
	}
	d.drainingEpochs[g.ID] = g.Epoch
	d.queue.schedule(d.now+barrierDelay+randomBelow(d.rng, maxWorkTime), func() {
		delete(d.drainingEpochs, g.ID)
		d.step(group.GroupSettled{ID: g.ID, Epoch: g.Epoch})
	})
}

// tick passes a tick to the machine every second.
func (d *Simulation) tick() {
	d.step(group.Ticked{})
	d.queue.schedule(d.now+time.Second, d.tick)
}

// sendOrders sends the orders that are due, and repeats itself every orderInterval.
func (d *Simulation) sendOrders() {
	for _, o := range d.machine.Orders(view.Time(d.now)) {
		d.queue.schedule(d.now+randomBelow(d.rng, maxOrderDelay), func() { d.deliverOrder(o) })
	}
	d.queue.schedule(d.now+orderInterval, d.sendOrders)
}

func (d *Simulation) deliverOrder(o order.Order) {
	m := d.membersByName[o.Host]
	if !m.up() || m.host.Incarnation != o.Incarnation {
		return
	}
	m.applyOrder(o, &d.store)
	d.report(m)
}

// report passes a member's status to the machine after a random delay, unless the member is then down
// or has restarted. The status is the one at the end of the delay.
func (d *Simulation) report(m *member) {
	s := m.status
	d.queue.schedule(d.now+randomBelow(d.rng, maxReportDelay), func() {
		if m.up() && s.Incarnation == m.host.Incarnation && d.machine.NeedsReport(m.host.Name, m.status) {
			d.step(group.StatusReported{Host: m.host.Name, Status: m.status})
		}
	})
}

// announce tells the machine of a host and its status.
func (d *Simulation) announce(m *member) {
	d.step(group.HostSeen{Host: m.host})
	d.step(group.StatusReported{Host: m.host.Name, Status: m.status})
}

// startFault starts a fault of a host, and schedules its end and the detection of its silence.
func (d *Simulation) startFault(s hostFault) {
	m := d.members[s.host]
	m.activeFaults++
	m.faultCount++
	m.willRestart = m.willRestart || s.kind != hostPauses
	fault := m.faultCount
	d.queue.schedule(d.now+silenceTimeout, func() { d.detectSilence(m, fault) })
	d.queue.schedule(d.now+s.duration, func() { d.endFault(m) })
}

func (d *Simulation) detectSilence(m *member, fault int) {
	if m.up() || m.faultCount != fault {
		return
	}
	d.step(group.HostLost{Host: m.host.Name, Incarnation: m.host.Incarnation})
	m.reportedLost = true
}

func (d *Simulation) endFault(m *member) {
	m.activeFaults--
	if !m.up() {
		return
	}
	if m.willRestart {
		m.restart(&d.store)
	}
	if m.willRestart || m.reportedLost {
		d.announce(m)
	}
	m.willRestart, m.reportedLost = false, false
}

// RestartDomain restarts all hosts of a failure domain.
func (d *Simulation) RestartDomain(name string) {
	for n, m := range d.members {
		if m.host.FailureDomain == name {
			d.startFault(hostFault{host: n, kind: hostRestarts, duration: restartDuration})
		}
	}
}
