package groups

import (
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// fault strikes a group, and is later healed by itself or by heal.
type fault struct {
	name     string
	promise  prove.Promise
	strike   func(w *World, target view.Group)
	heal     func(w *World)
	loosened group.Unsafe
}

// down stops an engine.
func (w *World) down(name view.HostName, d time.Duration, returns, keeps bool) {
	e := w.byName[name]
	if e == nil || !e.up {
		return
	}
	e.up = false
	e.deadFor = d
	e.returns = returns
	e.keeps = keeps
	e.faultAt = w.now
}

// forget makes an engine drop its role without a restart.
func (w *World) forget(e *engine) {
	e.status = report.Status{Incarnation: e.host.Incarnation, Phase: report.PhaseIdle}
	e.weights = ""
	e.faultAt = w.now
}

// cutGate leaves a gate with what it has just taken in force, for as long as
// its lease lets it.
func (w *World) cutGate(g *gate) {
	g.inForce = w.rev
	g.leaseUntil = w.now + gateLease
	g.cutUntil = w.now + time.Minute
}

// hurryLoads makes loads short, as leases and deadlines are.
func (w *World) hurryLoads(d time.Duration) {
	for _, e := range w.engines {
		e.loadTime = d
	}
}

// revive brings all engines back as new processes.
func (w *World) revive() {
	for _, e := range w.engines {
		if !e.up {
			e.deadFor = tick
			e.returns = true
			e.keeps = false
		}
	}
}

// member gives a member of a group by seed, the last one if it has no such.
func (w *World) member(g view.Group) view.HostName {
	if len(g.Members) == 0 {
		return w.engines[0].host.Name
	}
	return g.Members[w.rng.IntN(len(g.Members))].Host
}

func faults() []fault {
	return slices.Concat(hostFaults(), controlFaults(), operatorFaults())
}

// hostFaults are those of engines.
func hostFaults() []fault {
	return []fault{
		{
			name: "member killed", promise: prove.WholeGroups,
			strike: func(w *World, g view.Group) { w.down(w.member(g), 0, false, false) },
		},
		{
			name: "member restarted at once", promise: prove.WholeGroups,
			strike:   func(w *World, g view.Group) { w.down(w.member(g), tick, true, false) },
			loosened: group.Unsafe{IgnoreIncarnation: true, NoReadBack: true},
		},
		{
			name: "member restarted late", promise: prove.WholeGroups,
			strike: func(w *World, g view.Group) { w.down(w.member(g), 15*time.Second, true, false) },
		},
		{
			name: "member paused briefly", promise: prove.WholeGroups,
			strike: func(w *World, g view.Group) { w.down(w.member(g), 4*time.Second, true, true) },
		},
		{
			name: "member back with its old role after the repair", promise: prove.OneGroupPerHost,
			strike: func(w *World, g view.Group) { w.down(w.member(g), 90*time.Second, true, true) },
		},
		{
			name: "member drops its role", promise: prove.WholeGroups,
			strike: func(w *World, g view.Group) {
				w.forget(w.byName[w.member(g)])
			},
			loosened: group.Unsafe{NoReadBack: true},
		},
		{
			name: "member reports another version", promise: prove.WholeGroups,
			strike: func(w *World, g view.Group) {
				e := w.byName[w.member(g)]
				e.status.Version = "v0"
				e.weights = ""
				e.faultAt = w.now
			},
			loosened: group.Unsafe{NoReadBack: true},
		},
		{
			name: "member reports an older epoch", promise: prove.WholeGroups,
			strike: func(w *World, g view.Group) {
				e := w.byName[w.member(g)]
				e.status.Epoch = 0
				e.faultAt = w.now
			},
			loosened: group.Unsafe{IgnoreEpoch: true},
		},
		{
			name: "second member killed during the repair", promise: prove.OneGroupPerHost,
			strike: func(w *World, g view.Group) {
				w.down(w.member(g), 0, false, false)
				_ = w.Run(time.Duration(w.rng.IntN(25000)) * time.Millisecond)
				w.down(w.member(w.current[g.ID]), 0, false, false)
			},
		},
		{
			name: "spare killed during the repair", promise: prove.OneGroupPerHost,
			strike: func(w *World, g view.Group) {
				w.down(w.member(g), 0, false, false)
				w.RunUntil(30*time.Second, func() bool { return w.spareOf(g) != nil })
				if e := w.spareOf(g); e != nil {
					w.down(e.host.Name, 0, false, false)
				}
			},
		},
		{
			name: "fabric domain dark", promise: prove.WholeGroups,
			strike: func(w *World, g view.Group) {
				for _, e := range w.engines {
					if e.host.FabricDomain == g.FabricDomain {
						w.down(e.host.Name, 40*time.Second, true, true)
					}
				}
			},
		},
		{
			name: "fabric domain restarted", promise: prove.WholeGroups,
			strike: func(w *World, g view.Group) {
				for _, e := range w.engines {
					if e.host.FabricDomain == g.FabricDomain {
						w.down(e.host.Name, time.Duration(5+w.rng.IntN(30))*time.Second, true, false)
					}
				}
			},
		},
	}
}

// spareOf gives the engine that is prepared for a group, or nil.
func (w *World) spareOf(g view.Group) *engine {
	for _, e := range w.engines {
		h, _ := w.machine.Host(e.host.Name)
		if h.Group != g.ID {
			continue
		}
		members := w.current[g.ID].Members
		if !slices.ContainsFunc(members, func(m view.Member) bool { return m.Host == e.host.Name }) {
			return e
		}
	}
	return nil
}

// controlFaults are those of gates and leaders, with a member lost so that
// roles change.
func controlFaults() []fault {
	return []fault{
		{
			name: "deposed leaders' orders arrive late", promise: prove.OneGroupPerHost,
			strike: func(w *World, g view.Group) {
				w.deposes = true
				w.hurryLoads(tick)
				w.down(w.member(g), 20*time.Second, true, true)
				w.dissolveSome()
				w.changeMinds()
			},
			heal:     func(w *World) { w.deposes = false },
			loosened: group.Unsafe{NoOrderDelay: true},
		},
		{
			name: "leader replaced by a keeper restarted from a snapshot", promise: prove.WholeGroups,
			strike: func(w *World, g view.Group) {
				w.restartFollower()
				w.machine, w.follower = w.follower, w.machine
				w.down(w.member(g), 6*time.Second, true, true)
			},
		},
		{
			name: "gate lags up to its lease", promise: prove.OneGroupPerHost,
			strike: func(w *World, g view.Group) {
				w.hurryLoads(tick)
				w.calm = true
				_ = w.Run(4 * loadTime)
				w.cutGate(w.gates[0])
				w.down(w.member(g), tick, true, false)
			},
			loosened: group.Unsafe{NoBarrier: true},
		},
		{
			name: "gate cut off again and again", promise: prove.OneGroupPerHost,
			strike: func(w *World, g view.Group) {
				for range 10 {
					w.gates[w.rng.IntN(len(w.gates))].cutUntil = w.now + time.Duration(w.rng.IntN(6000))*time.Millisecond
					w.down(w.member(w.current[g.ID]), 5*time.Second, true, w.rng.IntN(2) == 0)
					_ = w.Run(4 * time.Second)
				}
			},
		},
	}
}

// dissolveSome wants fewer groups for a while, so that hosts change groups.
func (w *World) dissolveSome() {
	less := objects("v1")
	less.ModelGroups[0].Copies = 1
	less.ModelGroups[0].Minimum = 1
	w.objects = less
	w.step(group.ObjectsPublished{Set: less})
	_ = w.Run(25 * time.Second)
	w.want("v1")
}

// changeMinds publishes another version and takes it back while groups load
// it, again and again.
func (w *World) changeMinds() {
	for range 20 {
		w.want("v2")
		w.RunUntil(20*time.Second, func() bool { return w.anyIn("v2", view.StateLoading) })
		w.want("v1")
		_ = w.Run(5 * time.Second)
	}
}

// anyIn tells whether a group of a version is at a step of its life.
func (w *World) anyIn(version string, s view.GroupState) bool {
	for _, g := range w.current {
		if g.Version == version && g.State == s {
			return true
		}
	}
	return false
}

// want publishes the objects with a version.
func (w *World) want(version string) {
	w.objects = objects(version)
	w.step(group.ObjectsPublished{Set: w.objects})
}

// operatorFaults are what operators do at a bad moment.
func operatorFaults() []fault {
	return []fault{
		{
			name: "failure domain drained and restored", promise: prove.DrainedDomain,
			strike: func(w *World, g view.Group) {
				w.drain(view.DrainFailureDomain, g.FailureDomain, true)
				_ = w.Run(40 * time.Second)
				w.drain(view.DrainFailureDomain, g.FailureDomain, false)
			},
			loosened: group.Unsafe{IgnoreDrains: true},
		},
		{
			name: "upstream drained", promise: prove.LeavingUpstream,
			strike: func(w *World, g view.Group) {
				w.drain(view.DrainUpstream, string(w.member(g)), true)
			},
			loosened: group.Unsafe{IgnoreDrains: true},
		},
		{
			name: "upstream leaving", promise: prove.LeavingUpstream,
			strike: func(w *World, g view.Group) {
				e := w.byName[w.member(g)]
				e.host.Leaving = true
				w.drained[string(e.host.Name)] = w.now + reportEvery*4 + reportDelay
			},
			loosened: group.Unsafe{IgnoreDrains: true},
		},
		{
			name: "version changed", promise: prove.WholeGroups,
			strike: func(w *World, _ view.Group) {
				w.minimum = w.whole()
				w.want("v2")
			},
			loosened: group.Unsafe{IgnoreMinimum: true},
		},
		{
			name: "version changed and back while a member is killed", promise: prove.WholeGroups,
			strike: func(w *World, g view.Group) {
				w.want("v2")
				_ = w.Run(time.Duration(w.rng.IntN(20000)) * time.Millisecond)
				w.down(w.member(g), 0, false, false)
				w.want("v1")
			},
		},
	}
}

// drain takes something out or back in.
func (w *World) drain(kind view.DrainKind, name string, out bool) {
	if out {
		w.drained[name] = w.now
	} else {
		delete(w.drained, name)
	}
	w.step(group.DrainChanged{Kind: kind, Name: name, Drained: out})
}
