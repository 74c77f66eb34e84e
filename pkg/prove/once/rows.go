package once

import (
	"github.com/sesamemux/sesamemux/pkg/fake/service"
	machine "github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/serviceproxy"
)

// area names this package in the matrix.
const area = "once"

// Rows returns the rows of the fault matrix on once-only requests and on
// requests that crash upstreams.
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

// gateRows strike a gate at each step.
func gateRows() []prove.Row {
	var rows []prove.Row
	for _, s := range allSteps {
		for _, x := range []strike{kill, freeze} {
			p := plan{strike: x, step: s}
			rows = append(rows, row(prove.OnceOnly, string(x), string(s), p, gateUnguarded(p)))
		}
	}
	for _, x := range []strike{freeze, silence, leave} {
		for _, s := range []step{afterIntent, beforeDial} {
			p, q := plan{strike: x, step: s}, plan{strike: x, step: s}
			q.proxy.NoPreSendCheck = true
			promise := prove.TrueNotRun
			if x == leave {
				promise = prove.LeavingUpstream
			}
			rows = append(rows, row(promise, string(x), string(s), p, &q))
		}
	}
	return rows
}

// gateUnguarded returns a plan in which a gate that is gone frees its keys.
func gateUnguarded(p plan) *plan {
	if !p.step.executed() || p.step == afterConclusion {
		return nil
	}
	p.machine = machine.Unsafe{ForgetUnknown: true}
	return &p
}

// handOverRows strike either gate of a call that is handed over.
func handOverRows() []prove.Row {
	var rows []prove.Row
	for _, s := range allSteps {
		for _, x := range []strike{kill, freeze} {
			p := plan{strike: x, step: s, handOver: true}
			rows = append(rows, row(prove.OnceOnly, string(x)+", handed over", string(s), p, unrecorded(p)))
		}
	}
	chaos := plan{chaos: true, handOver: true}
	return append(rows, row(prove.OnceOnly, "all faults, handed over", "at any step", chaos, unrecorded(chaos)))
}

// logRows strike the way to the replicated records.
func logRows() []prove.Row {
	var rows []prove.Row
	for _, op := range []logOp{opIntent, opConclusion} {
		for _, f := range []logFault{logRefused, logLostRequest, logLostReply, logLate, logOutage} {
			p := plan{logFault: f, logOp: op}
			rows = append(rows, row(prove.OnceOnly, string(f), string(op), p, unrecorded(p)))
		}
	}
	return rows
}

// keeperRows strike the leading one of three replicas at each step.
func keeperRows() []prove.Row {
	var rows []prove.Row
	for _, s := range allSteps {
		for _, x := range []strike{killLeader, cutLeader} {
			p := plan{strike: x, step: s, replicas: true}
			rows = append(rows, row(prove.OnceOnly, string(x), string(s), p, unrecorded(p)))
		}
	}
	return rows
}

// unrecorded returns a plan in which calls run without a record, unless its
// fault strikes at the intent, which they then don't have.
func unrecorded(p plan) *plan {
	if p.step == beforeIntent || p.step == afterIntent {
		return nil
	}
	p.proxy = serviceproxy.Unsafe{NoIntent: true}
	return &p
}

// serviceRows strike the services.
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

// otherRows restart the records and let all faults strike at once.
func otherRows() []prove.Row {
	restarts := plan{restarts: true, strike: kill, step: afterRequest}
	forgets := restarts
	forgets.machine = machine.Unsafe{ForgetUnknown: true}
	chaos := plan{chaos: true, restarts: true}
	keepers := plan{chaos: true, replicas: true}
	return []prove.Row{
		row(prove.OnceOnly, "gate killed, records restored", "between intent and outcome", restarts, &forgets),
		row(prove.OnceOnly, "all faults", "at any step", chaos, unrecorded(chaos)),
		row(prove.OnceOnly, "all faults, keepers too", "at any step", keepers, unrecorded(keepers)),
	}
}
