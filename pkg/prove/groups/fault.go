package groups

import (
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// fault is injected into a group. It ends by itself or by heal.
type fault struct {
	name      string
	promise   prove.Promise
	inject    func(w *World, target view.Group)
	heal      func(w *World)
	unguarded group.Unsafe
}

// down stops an engine for d, or for good if it does not restart by itself.
func (w *World) down(name view.HostName, d time.Duration, returns, keeps bool) {
	e := w.byName[name]
	if e == nil || !e.up {
		return
	}
	e.up = false
	e.downtimeLeft = d
	e.restarts = returns
	e.keepsState = keeps
	e.faultAt = w.now
}

// dropRole makes an engine lose its role without a restart.
func (w *World) dropRole(e *engine) {
	e.status = report.Status{Incarnation: e.host.Incarnation, Phase: report.PhaseIdle}
	e.weights = ""
	e.faultAt = w.now
}

// isolateGate stops a gate's syncs. The gate goes on with the newest view until its
// lease ends.
func (w *World) isolateGate(g *gate) {
	g.inForce = w.rev
	g.leaseUntil = w.now + gateLease
	g.isolatedUntil = w.now + time.Minute
}

// setLoadTime sets the load time of all engines, so that loads can be as short as
// leases and order deadlines.
func (w *World) setLoadTime(d time.Duration) {
	for _, e := range w.engines {
		e.loadTime = d
	}
}

// restartAll restarts all engines that are down, as new processes.
func (w *World) restartAll() {
	for _, e := range w.engines {
		if !e.up {
			e.downtimeLeft = tick
			e.restarts = true
			e.keepsState = false
		}
	}
}

// randomMember returns a random member of a group, or the first engine if the group
// has no members.
func (w *World) randomMember(g view.Group) view.HostName {
	if len(g.Members) == 0 {
		return w.engines[0].host.Name
	}
	return g.Members[w.rng.IntN(len(g.Members))].Host
}

func faults() []fault {
	return slices.Concat(hostFaults(), controlFaults(), operatorFaults())
}

// hostFaults returns the faults of engines.
func hostFaults() []fault {
	return []fault{
		{
			name: "member killed", promise: prove.WholeGroups,
			inject: func(w *World, g view.Group) { w.down(w.randomMember(g), 0, false, false) },
		},
		{
			name: "member restarted at once", promise: prove.WholeGroups,
			inject:    func(w *World, g view.Group) { w.down(w.randomMember(g), tick, true, false) },
			unguarded: group.Unsafe{IgnoreIncarnation: true, NoReadBack: true},
		},
		{
			name: "member restarted late", promise: prove.WholeGroups,
			inject: func(w *World, g view.Group) { w.down(w.randomMember(g), 15*time.Second, true, false) },
		},
		{
			name: "member paused briefly", promise: prove.WholeGroups,
			inject: func(w *World, g view.Group) { w.down(w.randomMember(g), 4*time.Second, true, true) },
		},
		{
			name: "member back with its old role after the repair", promise: prove.OneGroupPerHost,
			inject: func(w *World, g view.Group) { w.down(w.randomMember(g), 90*time.Second, true, true) },
		},
		{
			name: "member drops its role", promise: prove.WholeGroups,
			inject: func(w *World, g view.Group) {
				w.dropRole(w.byName[w.randomMember(g)])
			},
			unguarded: group.Unsafe{NoReadBack: true},
		},
		{
			name: "member reports another version", promise: prove.WholeGroups,
			inject: func(w *World, g view.Group) {
				e := w.byName[w.randomMember(g)]
				e.status.Version = "v0"
				e.weights = ""
				e.faultAt = w.now
			},
			unguarded: group.Unsafe{NoReadBack: true},
		},
		{
			name: "member reports an older epoch", promise: prove.WholeGroups,
			inject: func(w *World, g view.Group) {
				e := w.byName[w.randomMember(g)]
				e.status.Epoch = 0
				e.faultAt = w.now
			},
			unguarded: group.Unsafe{IgnoreEpoch: true},
		},
		{
			name: "second member killed during the repair", promise: prove.OneGroupPerHost,
			inject: func(w *World, g view.Group) {
				w.down(w.randomMember(g), 0, false, false)
				_ = w.Run(time.Duration(w.rng.IntN(25000)) * time.Millisecond)
				w.down(w.randomMember(w.current[g.ID]), 0, false, false)
			},
		},
		{
			name: "spare killed during the repair", promise: prove.OneGroupPerHost,
			inject: func(w *World, g view.Group) {
				w.down(w.randomMember(g), 0, false, false)
				w.RunUntil(30*time.Second, func() bool { return w.spareOf(g) != nil })
				if e := w.spareOf(g); e != nil {
					w.down(e.host.Name, 0, false, false)
				}
			},
		},
		{
			name: "fabric domain dark", promise: prove.WholeGroups,
			inject: func(w *World, g view.Group) {
				for _, e := range w.engines {
					if e.host.FabricDomain == g.FabricDomain {
						w.down(e.host.Name, 40*time.Second, true, true)
					}
				}
			},
		},
		{
			name: "fabric domain restarted", promise: prove.WholeGroups,
			inject: func(w *World, g view.Group) {
				for _, e := range w.engines {
					if e.host.FabricDomain == g.FabricDomain {
						w.down(e.host.Name, time.Duration(5+w.rng.IntN(30))*time.Second, true, false)
					}
				}
			},
		},
	}
}

// spareOf returns the engine that is being prepared as a group's replacement, or nil.
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

// controlFaults returns the faults of gates and leaders. A member fails as well, so
// that roles change.
func controlFaults() []fault {
	return []fault{
		{
			name: "deposed leaders' orders arrive late", promise: prove.OneGroupPerHost,
			inject: func(w *World, g view.Group) {
				w.deposeLeaders = true
				w.setLoadTime(tick)
				w.down(w.randomMember(g), 20*time.Second, true, true)
				w.dissolveTemporarily()
				w.revertRollouts()
			},
			heal:      func(w *World) { w.deposeLeaders = false },
			unguarded: group.Unsafe{NoOrderDelay: true},
		},
		{
			name: "leader replaced by a keeper restarted from a snapshot", promise: prove.WholeGroups,
			inject: func(w *World, g view.Group) {
				w.restartFollower()
				w.machine, w.follower = w.follower, w.machine
				w.down(w.randomMember(g), 6*time.Second, true, true)
			},
		},
		{
			name: "gate lags up to its lease", promise: prove.OneGroupPerHost,
			inject: func(w *World, g view.Group) {
				w.setLoadTime(tick)
				w.noDisturbance = true
				_ = w.Run(4 * loadTime)
				w.isolateGate(w.gates[0])
				w.down(w.randomMember(g), tick, true, false)
			},
			unguarded: group.Unsafe{NoBarrier: true},
		},
		{
			name: "gate cut off again and again", promise: prove.OneGroupPerHost,
			inject: func(w *World, g view.Group) {
				for range 10 {
					w.gates[w.rng.IntN(len(w.gates))].isolatedUntil = w.now + time.Duration(w.rng.IntN(6000))*time.Millisecond
					w.down(w.randomMember(w.current[g.ID]), 5*time.Second, true, w.rng.IntN(2) == 0)
					_ = w.Run(4 * time.Second)
				}
			},
		},
	}
}

// dissolveTemporarily reduces the copies for a while, so that hosts change groups.
func (w *World) dissolveTemporarily() {
	less := objects("v1")
	less.ModelGroups[0].Copies = 1
	less.ModelGroups[0].Minimum = 1
	w.objects = less
	w.step(group.ObjectsPublished{Set: less})
	_ = w.Run(25 * time.Second)
	w.publishVersion("v1")
}

// revertRollouts repeatedly publishes another version and reverts it while groups load
// that version.
func (w *World) revertRollouts() {
	for range 20 {
		w.publishVersion("v2")
		w.RunUntil(20*time.Second, func() bool { return w.hasGroupIn("v2", view.StateLoading) })
		w.publishVersion("v1")
		_ = w.Run(5 * time.Second)
	}
}

// hasGroupIn reports whether a group of a version is in a state.
func (w *World) hasGroupIn(version string, s view.GroupState) bool {
	for _, g := range w.current {
		if g.Version == version && g.State == s {
			return true
		}
	}
	return false
}

// publishVersion publishes the objects with a version.
func (w *World) publishVersion(version string) {
	w.objects = objects(version)
	w.step(group.ObjectsPublished{Set: w.objects})
}

// operatorFaults returns operators' actions that arrive at an unfavourable moment.
func operatorFaults() []fault {
	return []fault{
		{
			name: "failure domain drained and restored", promise: prove.DrainedDomain,
			inject: func(w *World, g view.Group) {
				w.drain(view.DrainFailureDomain, g.FailureDomain, true)
				_ = w.Run(40 * time.Second)
				w.drain(view.DrainFailureDomain, g.FailureDomain, false)
			},
			unguarded: group.Unsafe{IgnoreDrains: true},
		},
		{
			name: "upstream drained", promise: prove.LeavingUpstream,
			inject: func(w *World, g view.Group) {
				w.drain(view.DrainUpstream, string(w.randomMember(g)), true)
			},
			unguarded: group.Unsafe{IgnoreDrains: true},
		},
		{
			name: "upstream leaving", promise: prove.LeavingUpstream,
			inject: func(w *World, g view.Group) {
				e := w.byName[w.randomMember(g)]
				e.host.Leaving = true
				w.drained[string(e.host.Name)] = w.now + reportEvery*4 + reportDelay
			},
			unguarded: group.Unsafe{IgnoreDrains: true},
		},
		{
			name: "version changed", promise: prove.WholeGroups,
			inject: func(w *World, _ view.Group) {
				w.enforceMinimum = w.allServing()
				w.publishVersion("v2")
			},
			unguarded: group.Unsafe{IgnoreMinimum: true},
		},
		{
			name: "version changed and back while a member is killed", promise: prove.WholeGroups,
			inject: func(w *World, g view.Group) {
				w.publishVersion("v2")
				_ = w.Run(time.Duration(w.rng.IntN(20000)) * time.Millisecond)
				w.down(w.randomMember(g), 0, false, false)
				w.publishVersion("v1")
			},
		},
	}
}

// drain drains or restores a failure domain or an upstream.
func (w *World) drain(kind view.DrainKind, name string, out bool) {
	if out {
		w.drained[name] = w.now
	} else {
		delete(w.drained, name)
	}
	w.step(group.DrainChanged{Kind: kind, Name: name, Drained: out})
}
