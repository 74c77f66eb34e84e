package permit

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	testTarget  = view.TargetID("group/g-1")
	testLease   = 3 * time.Second
	testMargin  = 100 * time.Millisecond
	testLongest = 20 * time.Second
)

// process is one gate process with its real Local.
type process struct {
	name        view.GateName
	incarnation view.Incarnation
	local       *Local
	inForce     view.Revision
	lease       view.Time
	dead        bool
}

// job is work that runs on the target, whatever became of its gate.
type job struct {
	gate        *process
	incarnation view.Incarnation
	permit      *Permit
}

// waiting is a request with a permit whose first byte is still to be sent.
type waiting struct {
	gate   *process
	permit *Permit
}

// flight is a report on its way, which may be late and out of order.
type flight struct {
	from   *process
	report UsageReported
}

// model drives an allocator with gates over a network that delays reports.
type model struct {
	alloc     *Allocator
	now       view.Time
	view      *view.View
	bounds    map[view.Revision]int
	gates     map[view.GateName]*process
	gone      []*process // lost a lease or died with work running
	granted   map[view.GateName]lapse
	jobs      []job
	waiting   []waiting
	flights   []flight
	target    view.Incarnation
	up        bool
	processes view.Incarnation
	counts    []int // running work at the last seconds, for late reports
}

// lapse is when the keepers count a gate's lease as gone.
type lapse struct {
	incarnation view.Incarnation
	at          view.Time
}

func newModel(o Options) *model {
	o.MaxRequestTime, o.LeaseTime = testLongest, testLease+testMargin
	m := &model{
		alloc:   NewAllocator(o),
		now:     view.Time(time.Hour),
		view:    view.New(),
		bounds:  map[view.Revision]int{},
		gates:   map[view.GateName]*process{},
		granted: map[view.GateName]lapse{},
	}
	m.restartTarget()
	return m
}

func (m *model) step(ev Event) {
	rev := m.view.Revision + 1
	changes := m.alloc.Step(m.now, rev, ev)
	if len(changes) == 0 {
		return
	}
	next, err := view.New().Install(m.view.Since(0))
	if err != nil {
		panic(err)
	}
	next.Revision = rev
	for _, c := range changes {
		switch c := c.(type) {
		case PutShare:
			next.Shares.Put(c.Share.Target, c.Share, rev)
			m.bounds[rev] = c.Share.Bound
		case DeleteShare:
			next.Shares.Delete(c.Target, rev)
		}
	}
	m.view = next
}

func (m *model) targetUp() TargetUp {
	return TargetUp{Target: testTarget, Incarnation: m.target, Max: 32, Cold: 2, RampTime: 4 * time.Second}
}

// restartTarget starts another incarnation: what ran there is gone.
func (m *model) restartTarget() {
	m.target++
	m.up = true
	for _, j := range m.jobs {
		j.permit.Release(EndFailed)
	}
	m.jobs = nil
	clear(m.bounds)
	m.step(m.targetUp())
}

func (m *model) startGate(name view.GateName) {
	m.processes++
	if g := m.gates[name]; g != nil {
		m.stopGate(g)
	}
	m.gates[name] = &process{name: name, incarnation: m.processes, local: NewLocal(name)}
}

func (m *model) stopGate(g *process) {
	g.dead = true
	m.gone = append(m.gone, g)
	delete(m.gates, g.name)
}

// sync renews a gate's lease and brings the view into force there.
func (m *model) sync(g *process) {
	sent := m.now
	if l, ok := m.granted[g.name]; ok && l.incarnation != g.incarnation && g.incarnation < l.incarnation {
		return
	}
	m.step(GateSeen{Gate: g.name, Incarnation: g.incarnation})
	m.granted[g.name] = lapse{incarnation: g.incarnation, at: m.now + view.Time(testLease+testMargin)}
	g.local.Install(m.view)
	g.inForce = m.view.Revision
	g.lease = sent + view.Time(testLease)
}

func (m *model) send(g *process) {
	m.flights = append(m.flights, flight{from: g, report: UsageReported{Gate: g.name, Uses: g.local.Usage()}})
}

// deliver hands a report to the allocator, unless its sender was replaced.
func (m *model) deliver(i int) {
	f := m.flights[i]
	m.flights = slices.Delete(m.flights, i, i+1)
	if m.alloc.gates[f.report.Gate] == f.from.incarnation {
		m.step(f.report)
	}
}

func (m *model) advance(d time.Duration) {
	m.now += view.Time(d)
	for name, l := range m.granted {
		if m.now >= l.at {
			delete(m.granted, name)
			m.step(GateGone{Gate: name, Incarnation: l.incarnation})
		}
	}
	m.jobs = slices.DeleteFunc(m.jobs, func(j job) bool {
		return j.gate.dead && m.now-j.gate.lease >= view.Time(testLongest)
	})
	m.step(Ticked{})
	m.counts = append(m.counts, len(m.jobs))
}

// allowed is the highest bound that a gate with a lease may have in force.
func (m *model) allowed() int {
	oldest := m.view.Revision
	for _, g := range m.gates {
		if m.now < g.lease {
			oldest = min(oldest, g.inForce)
		}
	}
	highest, base := 0, view.Revision(0)
	for r, b := range m.bounds {
		if r >= oldest {
			highest = max(highest, b)
		} else {
			base = max(base, r)
		}
	}
	return max(highest, m.bounds[base])
}

func (m *model) start(g *process) error {
	if m.now >= g.lease {
		return nil
	}
	p, ok := g.local.TryAcquire(testTarget, m.target)
	if !ok {
		return nil
	}
	m.waiting = append(m.waiting, waiting{gate: g, permit: p})
	return nil
}

// begin sends the first byte of a request that took its permit earlier.
func (m *model) begin(i int) error {
	w := m.waiting[i]
	m.waiting = slices.Delete(m.waiting, i, i+1)
	confirmed := w.permit.Incarnation == m.target // connections see to it
	if w.gate.dead || m.now >= w.gate.lease || !confirmed || !w.permit.Start() {
		w.permit.Release(EndInconclusive)
		return nil
	}
	m.jobs = append(m.jobs, job{gate: w.gate, incarnation: m.target, permit: w.permit})
	if len(m.jobs) > m.allowed() {
		return fmt.Errorf("%d requests run on the target, its bound is %d", len(m.jobs), m.allowed())
	}
	return nil
}

func (m *model) checkShare() error {
	s, ok := m.view.Shares.Get(testTarget)
	if !ok {
		return nil
	}
	sum := 0
	for _, g := range s.Gates {
		sum += g.Permits
	}
	if sum > s.Bound {
		return fmt.Errorf("published permits %d exceed the bound %d", sum, s.Bound)
	}
	return nil
}

// The seed is fixed. The run is long enough to find each of the protections
// that Unguarded turns off.
func init() {
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "2000")); err != nil {
		panic(err)
	}
}

var testGates = []view.GateName{"g1", "g2", "g3"}

// act does one random thing.
func (m *model) act(t *rapid.T) error {
	name := rapid.SampledFrom(testGates).Draw(t, "gate")
	g := m.gates[name]
	action := rapid.SampledFrom([]string{
		"start", "start", "start", "start", "begin", "end", "end", "sync", "sync", "send", "send", "deliver", "deliver",
		"time", "time", "queue", "suspect", "kill", "restart gate", "target up", "count", "rare",
	}).Draw(t, "action")
	if action == "rare" {
		action = rapid.SampledFrom([]string{"", "", "", "", "restart target", "target down"}).Draw(t, "rare")
	}
	if g == nil {
		m.startGate(name)
		return nil
	}
	switch action {
	case "start":
		if err := m.start(g); err != nil || len(m.waiting) == 0 || rapid.Bool().Draw(t, "later") {
			return err
		}
		return m.begin(len(m.waiting) - 1)
	case "begin":
		if len(m.waiting) > 0 {
			return m.begin(rapid.IntRange(0, len(m.waiting)-1).Draw(t, "waiting"))
		}
	case "end":
		if len(m.jobs) > 0 {
			i := rapid.IntRange(0, len(m.jobs)-1).Draw(t, "job")
			m.jobs[i].permit.Release(EndFinished)
			m.jobs = slices.Delete(m.jobs, i, i+1)
		}
	case "sync":
		m.sync(g)
	case "send":
		m.send(g)
	case "deliver":
		if len(m.flights) > 0 {
			m.deliver(rapid.IntRange(0, len(m.flights)-1).Draw(t, "flight"))
		}
	case "time":
		m.advance(time.Duration(rapid.IntRange(100, 2500).Draw(t, "ms")) * time.Millisecond)
	case "queue":
		g.local.SetQueued(testTarget, m.target, rapid.IntRange(0, 20).Draw(t, "queued"))
	case "suspect":
		g.local.Suspect(testTarget, m.target)
	case "kill":
		m.stopGate(g)
	case "restart gate":
		m.startGate(name)
	case "restart target":
		m.restartTarget()
	case "target down":
		m.up = false
		m.step(TargetDown{Target: testTarget})
	case "target up":
		m.up = true
		m.step(m.targetUp())
	case "count":
		m.step(TargetReported{Target: testTarget, Incarnation: m.target, Running: len(m.jobs)})
	}
	return nil
}

func play(t *rapid.T, o Options) error {
	m := newModel(o)
	for range rapid.IntRange(1, 150).Draw(t, "steps") {
		if err := m.act(t); err != nil {
			return err
		}
		if o.Unsafe == (Unsafe{}) {
			if err := m.checkShare(); err != nil {
				return err
			}
		}
	}
	if o.Unsafe != (Unsafe{}) {
		return nil
	}
	return m.recover()
}

// recover checks that after quiet all permits are given out again.
func (m *model) recover() error {
	if !m.up {
		m.step(m.targetUp())
	}
	for _, name := range testGates {
		if m.gates[name] == nil {
			m.startGate(name)
		}
	}
	for _, j := range m.jobs {
		j.permit.Release(EndFinished)
	}
	for _, w := range m.waiting {
		w.permit.Release(EndInconclusive)
	}
	m.jobs, m.flights, m.waiting = nil, nil, nil
	for range 60 {
		m.advance(time.Second)
		for _, name := range testGates {
			m.sync(m.gates[name])
			m.step(UsageReported{Gate: name, Uses: m.gates[name].local.Usage()})
		}
	}
	s, _ := m.view.Shares.Get(testTarget)
	sum := 0
	for _, g := range s.Gates {
		sum += g.Permits
	}
	if sum != s.Bound {
		return fmt.Errorf("after quiet %d of %d permits are given out: %+v", sum, s.Bound, s)
	}
	return nil
}

// TestBoundHolds checks that work on a target never exceeds its bound over
// all gates, and that permits are not lost for good.
func TestBoundHolds(t *testing.T) {
	for _, sharing := range []Sharing{SharingDemand, SharingEqual, SharingOwner} {
		t.Run(string(sharing), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if err := play(t, Options{Sharing: sharing}); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}
