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

// Rows returns the rows of the fault matrix on gates.
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
		row(prove.ColdStartBound, "cold return under the old incarnation", "under load", chilled(false), chilled(true)),
		row(prove.ColdStartBound, "gate lost", "holding permits with work running",
			lostGate(permit.Options{}), lostGate(allocator(permit.Unsafe{IgnoreOrphans: true}))),
		row(prove.ColdStartBound, "gate paused", "before the first byte",
			pausedGate(plain), pausedGate(unchecked)),
		row(prove.ColdStartBound, "view change", "half-way",
			movedPermits(permit.Options{}), movedPermits(allocator(permit.Unsafe{RaiseBeforeSettled: true}))),
		row(prove.DrainedDomain, "none", "under load", drained(none, plain, domain...), nil),
		row(prove.DrainedDomain, "gate cut off", "at the command",
			drained(cutOff, plain, domain...), drained(cutOffWithoutLease, plain, domain...)),
		row(prove.DrainedDomain, "gate paused", "at the command",
			drained(standStill, plain, domain...), drained(standStill, unchecked, domain...)),
		row(prove.LeavingUpstream, "none", "under load", drained(none, plain, upstream), nil),
		row(prove.LeavingUpstream, "gate cut off", "as it leaves",
			drained(cutOff, plain, upstream), drained(cutOffWithoutLease, plain, upstream)),
		row(prove.LeavingUpstream, "gate paused", "as it leaves",
			drained(standStill, plain, upstream), drained(standStill, unchecked, upstream)),
		row(prove.OwnWholeAnswer, "answer truncated", "at each byte boundary class",
			truncated(plain), truncated(untracked)),
		row(prove.OwnWholeAnswer, "events repeated, swapped, late", "mid-stream",
			disordered(plain), disordered(untracked)),
		row(prove.OwnWholeAnswer, "engine died", "mid-stream", dies(plain), dies(untracked)),
		row(prove.OwnWholeAnswer, "connections silent", "idle", silent(true, plain), silent(true, unwatched)),
		row(prove.OwnWholeAnswer, "connections silent", "mid-stream", silent(false, plain), silent(false, unwatched)),
		row(prove.OwnWholeAnswer, "peer gate died", "mid-stream", peerDies(plain), peerDies(untracked)),
		row(prove.OwnWholeAnswer, "all kinds", "at random", chaos(plain), chaos(untracked)),
		row(prove.TrueNotRun, "all kinds", "at random", chaos(plain), nil),
		row(prove.TrueNotRun, "engine paused or died, caller's time up", "before the first token",
			refusals(plain), refusals(gateWith(proxy.Unsafe{ReportNotRun: true}))),
		row(prove.GracefulShutdown, "gate leaves", "under load", shutdown(true), shutdown(false)),
	}
}
