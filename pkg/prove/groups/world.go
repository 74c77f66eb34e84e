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
	reportDelay   = 800 * time.Millisecond // maximum
	maxOrderDelay = leaderLease + orderTTL + 500*time.Millisecond
	restoreChance = 60 // one in this many steps restarts the follower
	// noticeBound is how long a gate may give work to a group with a failed member.
	noticeBound = silenceBound + reportEvery + reportDelay + gateLease + time.Second
)

// World simulates the machine with fakes in virtual time.
type World struct {
	rng            *rand.Rand
	opts           group.Options
	machine        *group.Machine
	follower       *group.Machine // applies the same events, at times restored from a snapshot
	now            time.Duration
	rev            view.Revision
	engines        []*engine // by name
	byName         map[view.HostName]*engine
	gates          []*gate
	net            network
	objects        object.Set
	views          map[view.Revision][]view.Group // sorted by ID
	cachedGroups   []view.Group                   // the machine's groups; nil if a step was made since
	current        map[view.GroupID]view.Group
	running        map[instance]time.Duration // until when requests run on draining groups
	settled        map[instance]bool
	drained        map[string]time.Duration // drained failure domains and hosts, and since when
	deposed        []deposedLeader
	deposeLeaders  bool // leaders are deposed repeatedly
	enforceMinimum bool // no host fails, so no model may have fewer groups than its minimum
	noDisturbance  bool // no duplicate messages and no long delays
	err            error
	lastTick       time.Duration
}

// instance is a group at one epoch.
type instance struct {
	ID    view.GroupID
	Epoch view.Epoch
}

// deposedLeader sends orders from an old state until its lease ends.
type deposedLeader struct {
	machine *group.Machine
	until   time.Duration
}

// NewWorld returns a world with four fabric domains in two failure domains.
func NewWorld(seed uint64, unguarded group.Unsafe) *World {
	w := &World{
		rng: rand.New(rand.NewPCG(seed, 5)),
		opts: group.Options{
			MaxOrderDelay:    maxOrderDelay,
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

// objects returns a set with three groups of four hosts and two groups of two.
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

// step applies an event to the machine and to the follower.
func (w *World) step(ev group.Event) {
	w.rev++
	at := view.Time(w.now)
	w.cachedGroups = nil
	changes := w.machine.Step(at, w.rev, ev)
	again := w.follower.Step(at, w.rev, ev)
	if !reflect.DeepEqual(changes, again) {
		w.fail("changes of the replicas differ after %T: %v and %v", ev, changes, again)
	}
	w.publish(changes)
	if w.rng.IntN(restoreChance) == 0 {
		w.restartFollower()
	}
}

// restartFollower compares the snapshots of both replicas and restores the follower
// from that of the other.
func (w *World) restartFollower() {
	ours, err := w.machine.Snapshot()
	if err != nil {
		w.fail("snapshot: %v", err)
		return
	}
	theirs, err := w.follower.Snapshot()
	if err != nil || !bytes.Equal(ours, theirs) {
		w.fail("snapshots of the replicas differ (error %v)", err)
	}
	w.follower = group.NewMachine(w.opts)
	if err := w.follower.Restore(ours); err != nil {
		w.fail("restore: %v", err)
	}
}

// publish records the state of all groups at the new revision.
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

// groups returns the groups of the machine.
func (w *World) groups() []view.Group {
	if w.cachedGroups == nil {
		w.cachedGroups = w.machine.Groups()
	}
	return w.cachedGroups
}

// noteDraining lets requests run on for a while on a group that begins to drain,
// until it loses a member.
func (w *World) noteDraining(was, is view.Group) {
	if is.State == view.StateSuspended {
		delete(w.running, instance{is.ID, is.Epoch})
	}
	if !takesWork(was) || !is.Draining || is.State == view.StateSuspended || was.Epoch != is.Epoch {
		return
	}
	key := instance{is.ID, is.Epoch}
	w.running[key] = w.now + time.Duration(w.rng.IntN(5000))*time.Millisecond + gateLease
	delete(w.settled, key)
}

func takesWork(g view.Group) bool { return g.State == view.StateServing && !g.Draining }

// Run advances time by d, or until a violation is found.
func (w *World) Run(d time.Duration) error {
	for end := w.now + d; w.now < end && w.err == nil; {
		w.advance()
	}
	return w.err
}

// RunUntil advances time until a condition holds, at most by d. It reports whether the
// condition held.
func (w *World) RunUntil(d time.Duration, cond func() bool) bool {
	for end := w.now + d; w.now < end && w.err == nil; {
		if cond() {
			return true
		}
		w.advance()
	}
	return false
}

// advance advances time by one tick and checks the invariants.
func (w *World) advance() {
	w.now += tick
	w.advanceEngines()
	w.deliver()
	w.syncGates()
	w.noticeSilence()
	w.runLeader()
	w.check()
}

func (w *World) advanceEngines() {
	for _, e := range w.engines {
		if e.up {
			e.advance(tick)
			continue
		}
		e.downtimeLeft -= tick
		if e.downtimeLeft <= 0 && e.restarts {
			w.returnEngine(e)
		}
	}
}

func (w *World) returnEngine(e *engine) {
	e.up = true
	e.faultAt = w.now
	if !e.keepsState {
		e.restart()
	}
}

// deliver delivers the messages that have arrived.
func (w *World) deliver() {
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

// reportArrived handles a report that is newer than those before.
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

// noticeSilence reports hosts as lost that were silent for too long.
func (w *World) noticeSilence() {
	for _, e := range w.engines {
		known, ok := w.machine.Host(e.host.Name)
		if ok && known.Present && w.now-e.heardAt > silenceBound {
			w.step(group.HostLost{Host: e.host.Name, Incarnation: known.Host.Incarnation})
		}
	}
}

// runLeader does the leader's work of a tick.
func (w *World) runLeader() {
	if w.now-w.lastTick >= time.Second {
		w.lastTick = w.now
		w.step(group.Ticked{})
	}
	w.reportSettled()
	w.sendReports()
	if w.now%(5*tick) == 0 {
		w.depose()
		w.sendOrders(w.machine)
	}
	w.sendDeposedOrders()
}

// sendReports sends the engines' reports at random intervals.
func (w *World) sendReports() {
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

// delay returns a random transmission time.
func (w *World) delay(longest time.Duration) time.Duration {
	if w.noDisturbance {
		return tick / 2
	}
	if w.rng.IntN(4) != 0 {
		longest /= 10
	}
	return time.Duration(w.rng.Int64N(int64(longest)))
}

// reportSettled reports draining groups whose requests have ended.
func (w *World) reportSettled() {
	for _, g := range w.groups() {
		key := instance{g.ID, g.Epoch}
		if g.Draining && !w.settled[key] && w.now >= w.running[key] {
			w.settled[key] = true
			w.step(group.GroupSettled{ID: g.ID, Epoch: g.Epoch})
		}
	}
}

// fail records the first violation.
func (w *World) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("at %v: %s", w.now-time.Hour, fmt.Sprintf(format, args...))
	}
}

// statusMatches reports whether a status is that of a ready member of a group.
func statusMatches(s report.Status, g view.Group, m view.Member) bool {
	return s.Incarnation == m.Incarnation &&
		s.Group == g.ID &&
		s.Epoch == g.Epoch &&
		s.Version == g.Version &&
		s.Rank == m.Rank &&
		len(s.Adapters) == len(g.Adapters) &&
		s.Phase == report.PhaseReady
}
