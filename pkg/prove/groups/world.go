package groups

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	tick          = 100 * time.Millisecond
	leaderLease   = 1500 * time.Millisecond
	orderTTL      = 2 * time.Second
	silenceBound  = 2 * time.Second
	reportEvery   = 500 * time.Millisecond
	reportDelay   = 800 * time.Millisecond // longest
	orderQuiet    = leaderLease + orderTTL + 500*time.Millisecond
	restoreChance = 60 // one step in so many restarts the follower
	// noticeBound is how long a gate may believe in a member that failed.
	noticeBound = silenceBound + reportEvery + reportDelay + gateLease + time.Second
)

// World plays the machine with fakes in virtual time.
type World struct {
	rng      *rand.Rand
	opts     group.Options
	machine  *group.Machine
	follower *group.Machine // replays the log, at times from a snapshot
	now      time.Duration
	rev      view.Revision
	engines  []*engine // by name
	byName   map[view.HostName]*engine
	gates    []*gate
	net      network
	objects  object.Set
	views    map[view.Revision][]view.Group // sorted by ID
	listed   []view.Group                   // the machine's, nil if a step was made since
	current  map[view.GroupID]view.Group
	running  map[instance]time.Duration // until when work runs on groups that drain
	settled  map[instance]bool
	drained  map[string]time.Duration // failure domains and hosts, since when
	deposed  []deposedLeader
	deposes  bool // leaders are deposed again and again
	minimum  bool // no model may go under its minimum, as no host fails
	calm     bool // no duplicates and long delays
	err      error
	lastTick time.Duration
}

// instance is a group at one epoch.
type instance struct {
	ID    view.GroupID
	Epoch view.Epoch
}

// deposedLeader gives orders from an old state until its lease ends.
type deposedLeader struct {
	machine *group.Machine
	until   time.Duration
}

// NewWorld returns a world of four fabric domains in two failure domains.
func NewWorld(seed uint64, unguarded group.Unsafe) *World {
	w := &World{
		rng: rand.New(rand.NewPCG(seed, 5)),
		opts: group.Options{
			MaxOrderDelay:    orderQuiet,
			DrainTimeout:     10 * time.Second,
			SurplusRetention: 15 * time.Second,
			StoreRate:        4 << 30,
			HostRate:         1 << 30,
			Unsafe:           unguarded,
		},
		byName:  make(map[view.HostName]*engine),
		views:   make(map[view.Revision][]view.Group),
		current: make(map[view.GroupID]view.Group),
		running: make(map[instance]time.Duration),
		settled: make(map[instance]bool),
		drained: make(map[string]time.Duration),
		now:     time.Hour,
	}
	w.machine = group.NewMachine(w.opts)
	w.follower = group.NewMachine(w.opts)
	for range 3 {
		w.gates = append(w.gates, &gate{})
	}
	for f := range 4 {
		for i := range 6 {
			w.addEngine(f, i)
		}
	}
	w.objects = objects("v1")
	w.step(group.ObjectsPublished{Set: w.objects})
	return w
}

func (w *World) addEngine(fabric, i int) {
	e := newEngine(view.Host{
		Name:          view.HostName(fmt.Sprintf("f%d-%d", fabric, i)),
		Incarnation:   1,
		Kind:          view.KindEngine,
		Address:       fmt.Sprintf("127.0.%d.%d:80", fabric, i),
		FabricDomain:  fmt.Sprintf("fabric-%d", fabric),
		FailureDomain: fmt.Sprintf("zone-%d", fabric%2),
		ChecksFence:   i%2 == 0,
	})
	w.engines = append(w.engines, e)
	w.byName[e.host.Name] = e
}

// objects asks for three groups of four hosts and two of two.
func objects(version string) object.Set {
	return object.Set{
		Versions: []object.Version{
			{Name: "v1", Model: "large", WeightsBytes: 4 << 30},
			{Name: "v2", Model: "large", WeightsBytes: 4 << 30},
		},
		ModelGroups: []object.ModelGroup{
			{
				Name: "large", Version: version, Copies: 3, Minimum: 2, HostsPerGroup: 4,
				Priority: 1, PauseGrace: 20 * time.Second,
			},
			{
				Name: "small", Version: version, Adapters: []string{"tone", "legal"},
				Copies: 2, Minimum: 1, HostsPerGroup: 2, PauseGrace: 20 * time.Second,
			},
		},
	}
}

// step puts one event into the log.
func (w *World) step(ev group.Event) {
	w.rev++
	at := view.Time(w.now)
	w.listed = nil
	changes := w.machine.Step(at, w.rev, ev)
	again := w.follower.Step(at, w.rev, ev)
	if !reflect.DeepEqual(changes, again) {
		w.fail("replicas differ after %T: %v and %v", ev, changes, again)
	}
	w.publish(changes)
	if w.rng.IntN(restoreChance) == 0 {
		w.restartFollower()
	}
}

// restartFollower restores the follower from a snapshot of the other replica
// and compares both.
func (w *World) restartFollower() {
	ours, err := w.machine.Snapshot()
	if err != nil {
		w.fail("snapshot: %v", err)
		return
	}
	theirs, err := w.follower.Snapshot()
	if err != nil || !bytes.Equal(ours, theirs) {
		w.fail("snapshots of replicas differ, error %v", err)
	}
	w.follower = group.NewMachine(w.opts)
	if err := w.follower.Restore(ours); err != nil {
		w.fail("restore: %v", err)
	}
}

// publish keeps the state of groups at the new revision.
func (w *World) publish(changes []group.Change) {
	for _, c := range changes {
		switch c := c.(type) {
		case group.PutGroup:
			w.noteDraining(w.current[c.Group.ID], c.Group)
			w.current[c.Group.ID] = c.Group
		case group.DeleteGroup:
			delete(w.current, c.ID)
		}
	}
	if len(changes) == 0 && len(w.views) > 0 {
		w.views[w.rev] = w.views[w.rev-1]
		return
	}
	state := make([]view.Group, 0, len(w.current))
	for _, id := range slices.Sorted(maps.Keys(w.current)) {
		state = append(state, w.current[id])
	}
	w.views[w.rev] = state
}

// groups gives the groups in the machine's books.
func (w *World) groups() []view.Group {
	if w.listed == nil {
		w.listed = w.machine.Groups()
	}
	return w.listed
}

// noteDraining lets work run on for a while on a group that begins to drain,
// until it loses a member.
func (w *World) noteDraining(was, is view.Group) {
	if is.State == view.StateSuspended {
		delete(w.running, instance{is.ID, is.Epoch})
	}
	if !takes(was) || !is.Draining || is.State == view.StateSuspended || was.Epoch != is.Epoch {
		return
	}
	key := instance{is.ID, is.Epoch}
	w.running[key] = w.now + time.Duration(w.rng.IntN(5000))*time.Millisecond + gateLease
	delete(w.settled, key)
}

func takes(g view.Group) bool { return g.State == view.StateServing && !g.Draining }

// Run plays for a time, unless something was found.
func (w *World) Run(d time.Duration) error {
	for end := w.now + d; w.now < end && w.err == nil; {
		w.pass()
	}
	return w.err
}

// RunUntil plays until a condition holds, at most for a time. It tells whether
// the condition held.
func (w *World) RunUntil(d time.Duration, cond func() bool) bool {
	for end := w.now + d; w.now < end && w.err == nil; {
		if cond() {
			return true
		}
		w.pass()
	}
	return false
}

// pass lets one tick of time pass.
func (w *World) pass() {
	w.now += tick
	w.passEngines()
	w.arrive()
	w.syncGates()
	w.noticeSilence()
	w.lead()
	w.check()
}

func (w *World) passEngines() {
	for _, e := range w.engines {
		if e.up {
			e.pass(tick)
			continue
		}
		e.deadFor -= tick
		if e.deadFor <= 0 && e.returns {
			w.comeBack(e)
		}
	}
}

func (w *World) comeBack(e *engine) {
	e.up = true
	e.faultAt = w.now
	if !e.keeps {
		e.restart()
	}
}

// arrive takes in what has arrived.
func (w *World) arrive() {
	for _, m := range w.net.arrived(w.now) {
		e := w.byName[m.host]
		switch {
		case m.order != nil:
			w.orderArrived(e, *m.order)
		case m.made > e.reported:
			w.reportArrived(e, m)
		}
	}
}

// reportArrived takes in a report that is newer than those before.
func (w *World) reportArrived(e *engine, m message) {
	e.reported = m.made
	e.heardAt = w.now
	known, ok := w.machine.Host(e.host.Name)
	if m.report.Incarnation != e.host.Incarnation {
		return
	}
	if !ok || !known.Present || known.Host != e.host {
		w.step(group.HostSeen{Host: e.host})
	}
	if w.machine.NeedsReport(e.host.Name, *m.report) {
		w.step(group.StatusReported{Host: e.host.Name, Status: *m.report})
	}
}

// noticeSilence tells of hosts that were not heard of for too long.
func (w *World) noticeSilence() {
	for _, e := range w.engines {
		known, ok := w.machine.Host(e.host.Name)
		if ok && known.Present && w.now-e.heardAt > silenceBound {
			w.step(group.HostLost{Host: e.host.Name, Incarnation: known.Host.Incarnation})
		}
	}
}

// lead does what the leader does each tick.
func (w *World) lead() {
	if w.now-w.lastTick >= time.Second {
		w.lastTick = w.now
		w.step(group.Ticked{})
	}
	w.settle()
	w.reports()
	if w.now%(5*tick) == 0 {
		w.depose()
		w.give(w.machine)
	}
	w.giveOld()
}

// reports sends each engine's report now and then.
func (w *World) reports() {
	for _, e := range w.engines {
		if !e.up || w.now < e.reportAt {
			continue
		}
		e.reportAt = w.now + w.delay(2*reportEvery)
		s := e.status
		m := message{host: e.host.Name, report: &s, made: w.now, at: w.now + w.delay(reportDelay)}
		w.net.send(m)
		if w.rng.IntN(8) == 0 {
			m.at += w.delay(reportDelay)
			w.net.send(m)
		}
	}
}

// delay gives the time that a message is under way.
func (w *World) delay(longest time.Duration) time.Duration {
	if w.calm {
		return tick / 2
	}
	if w.rng.IntN(4) != 0 {
		longest /= 10
	}
	return time.Duration(w.rng.Int64N(int64(longest)))
}

// settle tells of draining groups whose work has ended.
func (w *World) settle() {
	for _, g := range w.groups() {
		key := instance{g.ID, g.Epoch}
		if g.Draining && !w.settled[key] && w.now >= w.running[key] {
			w.settled[key] = true
			w.step(group.GroupSettled{ID: g.ID, Epoch: g.Epoch})
		}
	}
}

// fail keeps the first thing that was found.
func (w *World) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("at %v: %s", w.now-time.Hour, fmt.Sprintf(format, args...))
	}
}

// statusMatches tells whether a status is of a member of a group.
func statusMatches(s report.Status, g view.Group, m view.Member) bool {
	return s.Incarnation == m.Incarnation &&
		s.Group == g.ID &&
		s.Epoch == g.Epoch &&
		s.Version == g.Version &&
		s.Rank == m.Rank &&
		len(s.Adapters) == len(g.Adapters) &&
		s.Phase == report.PhaseReady
}
