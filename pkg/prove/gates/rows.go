package gates

import (
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/proxy"
)

const area = "gates"

func row(p prove.Promise, fault, step string, run, unguarded prove.Scenario) prove.Row {
	r := prove.Row{Promise: p, Area: area, Fault: fault, Step: step, Run: prove.InVirtualTime(run)}
	if unguarded != nil {
		r.Unguarded = prove.InVirtualTime(unguarded)
	}
	return r
}

func allocator(u permit.Unsafe) permit.Options { return permit.Options{Unsafe: u} }

func gateWith(u proxy.Unsafe) proxy.Options { return proxy.Options{Unsafe: u} }

// Rows returns the rows about gates.
func Rows() []prove.Row {
	plain := proxy.Options{}
	untracked := gateWith(proxy.Unsafe{NoStreamTracking: true})
	unwatched := gateWith(proxy.Unsafe{NoStallTimeouts: true})
	domain, upstream := []groupID{"assistant-1", "assistant-2"}, groupID("assistant-1")
	unchecked := gateWith(proxy.Unsafe{NoPreSendCheck: true})
	return []prove.Row{
		row(prove.ColdStartBound, "nine gates at once", "just started",
			nineGates(permit.Options{}), nineGates(allocator(permit.Unsafe{SkipRamp: true}))),
		row(prove.ColdStartBound, "unannounced cold return", "under load",
			coldReturn(plain), coldReturn(gateWith(proxy.Unsafe{NoIncarnationCheck: true}))),
		row(prove.ColdStartBound, "cold return under the old incarnation", "under load", turnedCold(false), turnedCold(true)),
		row(prove.ColdStartBound, "gate lost", "holding permits with work running",
			lostGate(permit.Options{}), lostGate(allocator(permit.Unsafe{IgnoreOrphans: true}))),
		row(prove.ColdStartBound, "gate paused", "before the first byte",
			pausedGate(plain), pausedGate(unchecked)),
		row(prove.ColdStartBound, "view change", "half-way",
			movedPermits(permit.Options{}), movedPermits(allocator(permit.Unsafe{RaiseBeforeSettled: true}))),
		row(prove.DrainedDomain, "none", "under load", drainUnderLoad(noFault, plain, domain...), nil),
		row(prove.DrainedDomain, "gate cut off", "at the command",
			drainUnderLoad(isolateGate, plain, domain...), drainUnderLoad(isolateGateIgnoringLease, plain, domain...)),
		row(prove.DrainedDomain, "gate paused", "at the command",
			drainUnderLoad(pauseGate, plain, domain...), drainUnderLoad(pauseGate, unchecked, domain...)),
		row(prove.LeavingUpstream, "none", "under load", drainUnderLoad(noFault, plain, upstream), nil),
		row(prove.LeavingUpstream, "gate cut off", "as it leaves",
			drainUnderLoad(isolateGate, plain, upstream), drainUnderLoad(isolateGateIgnoringLease, plain, upstream)),
		row(prove.LeavingUpstream, "gate paused", "as it leaves",
			drainUnderLoad(pauseGate, plain, upstream), drainUnderLoad(pauseGate, unchecked, upstream)),
		row(prove.OwnWholeAnswer, "answer truncated", "at each byte boundary class",
			truncatedAnswers(plain), truncatedAnswers(untracked)),
		row(prove.OwnWholeAnswer, "events repeated, swapped, late", "mid-stream",
			reorderedEvents(plain), reorderedEvents(untracked)),
		row(prove.OwnWholeAnswer, "engine died", "mid-stream", engineDies(plain), engineDies(untracked)),
		row(prove.OwnWholeAnswer, "connections silent", "idle", silentConnections(true, plain), silentConnections(true, unwatched)),
		row(prove.OwnWholeAnswer, "connections silent", "mid-stream", silentConnections(false, plain), silentConnections(false, unwatched)),
		row(prove.OwnWholeAnswer, "peer gate died", "mid-stream", peerDies(plain), peerDies(untracked)),
		row(prove.OwnWholeAnswer, "all kinds", "at random", chaos(plain), chaos(untracked)),
		row(prove.TrueNotRun, "all kinds", "at random", chaos(plain), nil),
		row(prove.TrueNotRun, "engine paused or died, caller's time up", "before the first token",
			refusals(plain), refusals(gateWith(proxy.Unsafe{ReportNotRun: true}))),
		row(prove.GracefulShutdown, "gate leaves", "under load", shutdown(true), shutdown(false)),
	}
}
