package once

import (
	"github.com/sesamemux/sesamemux/pkg/fake/service"
	machine "github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/serviceproxy"
)

// area is the area of the package's rows.
const area = "once"

// Rows returns the rows about once-only requests and about requests that crash
// upstreams.
func Rows() []prove.Row {
	var rows []prove.Row
	rows = append(rows, gateRows()...)
	rows = append(rows, handOverRows()...)
	rows = append(rows, logRows()...)
	rows = append(rows, keeperRows()...)
	rows = append(rows, serviceRows()...)
	rows = append(rows, otherRows()...)
	rows = append(rows, crashRows()...)
	return rows
}

func row(p prove.Promise, fault, at string, guarded plan, unguarded *plan) prove.Row {
	r := prove.Row{Promise: p, Area: area, Fault: fault, Step: at, Run: scenario(guarded)}
	if unguarded != nil {
		r.Unguarded = scenario(*unguarded)
	}
	return r
}

// gateRows returns the rows that inject faults into a gate at each step.
func gateRows() []prove.Row {
	var rows []prove.Row
	for _, s := range allSteps {
		for _, x := range []gateFault{killGate, freezeGate} {
			p := plan{gateFault: x, step: s}
			rows = append(rows, row(prove.OnceOnly, string(x), string(s), p, gateUnguarded(p)))
		}
	}
	for _, x := range []gateFault{freezeGate, lapseLease, hostLeaves} {
		for _, s := range []step{afterIntent, beforeDial} {
			p, q := plan{gateFault: x, step: s}, plan{gateFault: x, step: s}
			q.proxy.NoPreSendCheck = true
			promise := prove.TrueNotRun
			if x == hostLeaves {
				promise = prove.LeavingUpstream
			}
			rows = append(rows, row(promise, string(x), string(s), p, &q))
		}
	}
	return rows
}

// gateUnguarded returns a plan in which the keys of a gate that is gone are released.
func gateUnguarded(p plan) *plan {
	if !p.step.runsCall() || p.step == afterConclusion {
		return nil
	}
	p.machine = machine.Unsafe{ForgetUnknown: true}
	return &p
}

// handOverRows returns the rows that inject faults into either gate of a handed-over
// call.
func handOverRows() []prove.Row {
	var rows []prove.Row
	for _, s := range allSteps {
		for _, x := range []gateFault{killGate, freezeGate} {
			p := plan{gateFault: x, step: s, handOver: true}
			rows = append(rows, row(prove.OnceOnly, string(x)+", handed over", string(s), p, withoutIntents(p)))
		}
	}
	chaos := plan{chaos: true, handOver: true}
	return append(rows, row(prove.OnceOnly, "all faults, handed over", "at any step", chaos, withoutIntents(chaos)))
}

// logRows returns the rows that inject faults into calls to the replicated records.
func logRows() []prove.Row {
	var rows []prove.Row
	for _, op := range []logOp{opIntent, opConclusion} {
		for _, f := range []logFault{logRefused, logLostRequest, logLostReply, logLate, logOutage} {
			p := plan{logFault: f, logOp: op}
			rows = append(rows, row(prove.OnceOnly, string(f), string(op), p, withoutIntents(p)))
		}
	}
	return rows
}

// keeperRows returns the rows that affect the leader of three replicas at each step.
func keeperRows() []prove.Row {
	var rows []prove.Row
	for _, s := range allSteps {
		for _, x := range []gateFault{killLeader, isolateLeader} {
			p := plan{gateFault: x, step: s, replicas: true}
			rows = append(rows, row(prove.OnceOnly, string(x), string(s), p, withoutIntents(p)))
		}
	}
	return rows
}

// withoutIntents returns a plan in which calls run without a recorded intent, or nil if
// the fault is injected at the intent, which such calls don't have.
func withoutIntents(p plan) *plan {
	if p.step == beforeIntent || p.step == afterIntent {
		return nil
	}
	p.proxy = serviceproxy.Unsafe{NoIntent: true}
	return &p
}

// serviceRows returns the rows that inject faults into the services.
func serviceRows() []prove.Row {
	var rows []prove.Row
	for _, f := range []service.FaultKind{
		service.FaultCutBefore, service.FaultCutAfter, service.FaultCutAnswer, service.FaultSlow,
		service.FaultLoseReply, service.FaultPause, service.FaultRedirect,
		service.FaultUnavailable, service.FaultUnavailableAfter,
	} {
		p := plan{serviceFault: f}
		rows = append(rows, row(servicePromise(f), "service "+string(f), "at the call", p, serviceUnguarded(p)))
	}
	return rows
}

func servicePromise(f service.FaultKind) prove.Promise {
	if f == service.FaultUnavailable || f == service.FaultUnavailableAfter {
		return prove.TrueNotRun
	}
	return prove.OnceOnly
}

func serviceUnguarded(p plan) *plan {
	switch p.serviceFault {
	case service.FaultCutBefore, service.FaultUnavailable:
		return nil
	case service.FaultUnavailableAfter:
		p.proxy = serviceproxy.Unsafe{TrustStatus: true}
	default:
		p.proxy = serviceproxy.Unsafe{ResendUnknown: true}
	}
	return &p
}

// otherRows returns the rows that restore the records or inject all faults.
func otherRows() []prove.Row {
	restarts := plan{restoreRecords: true, gateFault: killGate, step: afterRequest}
	forgets := restarts
	forgets.machine = machine.Unsafe{ForgetUnknown: true}
	chaos := plan{chaos: true, restoreRecords: true}
	keepers := plan{chaos: true, replicas: true}
	return []prove.Row{
		row(prove.OnceOnly, "gate killed, records restored", "between intent and outcome", restarts, &forgets),
		row(prove.OnceOnly, "all faults", "at any step", chaos, withoutIntents(chaos)),
		row(prove.OnceOnly, "all faults, keepers too", "at any step", keepers, withoutIntents(keepers)),
	}
}
