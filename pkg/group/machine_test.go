package group

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// play drives a machine with obedient members, one tick a second.
type play struct {
	t     *testing.T
	m     *Machine
	now   view.Time
	rev   view.Revision
	dead  map[view.HostName]bool
	inc   map[view.HostName]view.Incarnation
	loads map[view.HostName]int // seconds of fetching left
}

const loadSeconds = 10

func newPlay(t *testing.T, o Options) *play {
	return &play{
		t: t, m: NewMachine(o), now: view.Time(time.Hour), rev: 1,
		dead:  make(map[view.HostName]bool),
		inc:   make(map[view.HostName]view.Incarnation),
		loads: make(map[view.HostName]int),
	}
}

func (p *play) step(ev Event) []Change {
	p.rev++
	return p.m.Step(p.now, p.rev, ev)
}

func (p *play) addHost(name view.HostName, fabric string) {
	p.inc[name]++
	p.dead[name] = false
	p.step(HostSeen{view.Host{
		Name: name, Incarnation: p.inc[name], Kind: view.KindEngine, Address: string(name),
		FabricDomain: fabric, FailureDomain: "z-" + fabric, ChecksFence: true,
	}})
	p.step(StatusReported{name, report.Status{Incarnation: p.inc[name], Phase: report.PhaseIdle}})
}

func (p *play) kill(name view.HostName) {
	p.dead[name] = true
	p.step(HostLost{name, p.inc[name]})
}

// second lets one second pass: orders are carried out and reported at once.
func (p *play) second() {
	p.now += view.Time(time.Second)
	p.step(Ticked{})
	p.step(BarrierPassed{p.rev})
	for _, o := range p.m.Orders(p.now) {
		if !p.dead[o.Host] {
			p.obey(o)
		}
	}
}

func (p *play) obey(o order.Order) {
	if o.Kind == order.KindRelease {
		p.step(StatusReported{o.Host, report.Status{Incarnation: o.Incarnation, Phase: report.PhaseIdle}})
		return
	}
	h, _ := p.m.Host(o.Host)
	s := report.Status{
		Incarnation: o.Incarnation, Group: o.Group, Epoch: o.Fence, Version: o.Version,
		Adapters: o.Adapters, Rank: o.Rank, Phase: report.PhaseLoading,
	}
	warm := h.Status.Version == o.Version && h.Status.Rank == o.Rank && h.Status.Phase != report.PhaseIdle
	if !warm {
		p.loads[o.Host] = loadSeconds
	}
	if o.LoadAllowed {
		p.loads[o.Host]--
	}
	if p.loads[o.Host] <= 0 {
		s.Phase = report.PhaseReady
	}
	p.step(StatusReported{o.Host, s})
}

func (p *play) seconds(n int) {
	for range n {
		p.second()
	}
}

func (p *play) taking() int { return p.m.Stats().TakingWork }

func set(copies, minimum, hosts int) object.Set {
	return object.Set{
		Versions: []object.Version{{Name: "v1", Model: "a", WeightsBytes: 10 << 30}, {Name: "v2", Model: "a", WeightsBytes: 10 << 30}},
		ModelGroups: []object.ModelGroup{{
			Name: "a", Version: "v1", Copies: copies, Minimum: minimum, HostsPerGroup: hosts,
			PauseGrace: 30 * time.Second,
		}},
	}
}

func newServing(t *testing.T, o Options, copies, fabrics, hosts int) *play {
	p := newPlay(t, o)
	for f := range fabrics {
		for h := range hosts {
			p.addHost(view.HostName(fmt.Sprintf("h%d-%d", f, h)), fmt.Sprint("f", f))
		}
	}
	p.step(ObjectsPublished{set(copies, 1, 4)})
	p.seconds(120)
	if p.taking() != copies {
		t.Fatalf("%d of %d groups take work; %+v", p.taking(), copies, p.m.Groups())
	}
	return p
}

func TestFormsAndServes(t *testing.T) {
	p := newServing(t, Options{}, 3, 3, 5)
	for _, g := range p.m.Groups() {
		if len(g.Members) != 4 || g.State != view.StateServing {
			t.Errorf("group %+v", g)
		}
	}
	if w := p.m.Stats().LoadsWasted; w != 0 {
		t.Errorf("%d loads wasted", w)
	}
}

func TestSpareTakesOver(t *testing.T) {
	p := newServing(t, Options{ColdSpares: true}, 1, 1, 5)
	lost := p.m.Groups()[0].Members[2].Host
	p.kill(lost)
	if p.taking() != 0 {
		t.Fatal("takes work with a member missing")
	}
	p.seconds(45)
	if p.taking() != 1 {
		t.Fatalf("not repaired: %+v", p.m.Groups())
	}
	if done := p.m.Stats().LoadsDone; done != 5 {
		t.Errorf("%d loads, want 4 and 1", done)
	}
}

func TestWarmSpareTakesOverAtOnce(t *testing.T) {
	p := newServing(t, Options{}, 1, 1, 8)
	if n := p.m.Stats().Spares; n != 4 {
		t.Fatalf("%d spares have weights, want 4", n)
	}
	lost := p.m.Groups()[0].Members[2].Host
	p.kill(lost)
	p.seconds(8)
	if p.taking() != 1 {
		t.Fatalf("not repaired: %+v", p.m.Groups())
	}
	if done := p.m.Stats().LoadsDone; done != 8 {
		t.Errorf("%d loads, want 4 for members and 4 for spares", done)
	}
}

func TestPausedMemberReturns(t *testing.T) {
	p := newServing(t, Options{}, 1, 1, 5)
	lost := p.m.Groups()[0].Members[2]
	h, _ := p.m.Host(lost.Host)
	p.kill(lost.Host)
	p.seconds(2)
	p.dead[lost.Host] = false
	p.step(HostSeen{h.Host})
	if p.taking() != 0 {
		t.Fatal("takes work before the member reported")
	}
	p.step(StatusReported{lost.Host, h.Status})
	if p.taking() != 1 {
		t.Fatal("does not take work")
	}
}

func TestMergesSurvivors(t *testing.T) {
	p := newServing(t, Options{}, 2, 1, 8)
	gs := p.m.Groups()
	p.kill(gs[0].Members[0].Host)
	p.kill(gs[1].Members[3].Host)
	p.seconds(60)
	if p.taking() != 1 {
		t.Fatalf("%d groups take work: %+v", p.taking(), p.m.Groups())
	}
	if done := p.m.Stats().LoadsDone; done != 8 {
		t.Errorf("%d loads, want 8: the survivors have all weights", done)
	}
}

func TestRolloutKeepsMinimum(t *testing.T) {
	p := newServing(t, Options{}, 3, 1, 13)
	s := set(3, 2, 4)
	s.ModelGroups[0].Version = "v2"
	p.step(ObjectsPublished{s})
	for range 600 {
		p.second()
		if p.taking() < 2 {
			t.Fatalf("%d groups take work", p.taking())
		}
	}
	for _, g := range p.m.Groups() {
		if g.Version != "v2" || g.State != view.StateServing {
			t.Errorf("group %+v", g)
		}
	}
}

func TestDrainParksAndReturns(t *testing.T) {
	p := newServing(t, Options{}, 2, 2, 4)
	p.step(DrainChanged{Kind: view.DrainFailureDomain, Name: "z-f0", Drained: true})
	if p.taking() != 1 {
		t.Fatal("a drained group takes work")
	}
	p.seconds(300)
	p.step(DrainChanged{Kind: view.DrainFailureDomain, Name: "z-f0", Drained: false})
	if p.taking() != 2 {
		t.Fatalf("a group that was kept loaded does not return: %+v", p.m.Groups())
	}
}

func TestSnapshotIsExact(t *testing.T) {
	p := newServing(t, Options{}, 3, 3, 5)
	p.kill("h0-1")
	p.seconds(7)
	a, err := p.m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	r := NewMachine(Options{})
	if err := r.Restore(a); err != nil {
		t.Fatal(err)
	}
	b, err := r.Snapshot()
	if err != nil || !bytes.Equal(a, b) {
		t.Fatalf("restored state differs, err %v", err)
	}
}

func TestStuckReplacementEndsAStep(t *testing.T) {
	p := newServing(t, Options{}, 1, 1, 5)
	stuck := view.HostName("h0-4")
	for _, name := range p.m.HostNames() {
		if h, _ := p.m.Host(name); h.Group == "" {
			stuck = name
		}
	}
	lost := p.m.Groups()[0].Members[2].Host
	p.kill(lost)
	for range 400 {
		p.now += view.Time(time.Second)
		p.step(Ticked{})
		p.step(BarrierPassed{p.rev})
		for _, o := range p.m.Orders(p.now) {
			if o.Host == stuck {
				o.LoadAllowed = false
				p.loads[o.Host] = loadSeconds
				p.obey(o)
			}
		}
	}
	if e := p.m.Stats().Epoch; e > 400 {
		t.Errorf("%d fencing numbers in 400 s for one host that makes no headway", e)
	}
}
