package once

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/fake/service"
)

// slowMS is beyond the time for a call, in milliseconds.
const slowMS = 15_000

// serviceCount is how many calls a fault strikes on each host of the service.
const serviceCount = 2

// serviceStruck is how many calls it strikes on all of them.
const serviceStruck = serviceCount * hostCount

// chaosOdds is one in how many steps a fault strikes in a run of all faults.
const chaosOdds = 10

var (
	chaosStrikes = []strike{kill, freeze, silence, leave}
	chaosKeepers = []strike{killLeader, cutLeader}
	chaosLog     = []logFault{logRefused, logLostRequest, logLostReply, logLate}
	chaosService = []service.FaultKind{
		service.FaultCutBefore, service.FaultCutAfter, service.FaultCutAnswer, service.FaultSlow,
		service.FaultLoseReply, service.FaultUnavailableAfter, service.FaultUnavailable, service.FaultRedirect,
	}
)

// nextStrike tells what happens to a gate at a step.
func (w *world) nextStrike(s step) (strike, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.healed {
		return "", false
	}
	if w.plan.chaos && w.rand.IntN(chaosOdds) == 0 {
		w.struck++
		if w.quorum != nil && w.rand.IntN(3) == 0 {
			return chaosKeepers[w.rand.IntN(len(chaosKeepers))], true
		}
		return chaosStrikes[w.rand.IntN(len(chaosStrikes))], true
	}
	if w.plan.strike == "" || w.plan.step != s || w.struck > 0 {
		return "", false
	}
	w.struck++
	return w.plan.strike, true
}

// nextLogFault tells how a call to the records fails.
func (w *world) nextLogFault(op logOp) logFault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.healed {
		return ""
	}
	if w.plan.chaos && w.rand.IntN(chaosOdds) == 0 {
		w.logStruck++
		return chaosLog[w.rand.IntN(len(chaosLog))]
	}
	if w.plan.logFault == logOutage {
		return w.outage(op)
	}
	if w.plan.logFault == "" || w.plan.logOp != op || w.logStruck >= strikeCount {
		return ""
	}
	w.logStruck++
	return w.plan.logFault
}

// outage begins at the first planned operation and strikes all until its end.
func (w *world) outage(op logOp) logFault {
	if w.outageEnd.IsZero() && w.plan.logOp == op {
		w.outageEnd = time.Now().Add(outageTime)
	}
	if w.outageEnd.IsZero() || time.Now().After(w.outageEnd) {
		return ""
	}
	w.logStruck++
	return logOutage
}

// orderServiceFaults puts the planned fault of services in force.
func (w *world) orderServiceFaults() {
	switch {
	case w.plan.chaos:
		for _, s := range w.services {
			s.SetFault(service.Fault{Kind: chaosService[w.pick(len(chaosService))], Count: serviceCount, DelayMS: slowMS})
		}
	case w.plan.serviceFault != "":
		for _, s := range w.services {
			s.SetFault(service.Fault{Kind: w.plan.serviceFault, Count: serviceCount, DelayMS: slowMS})
		}
	}
}

// happened tells whether the planned fault struck.
func (w *world) happened() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.plan.chaos:
		return w.struck+w.logStruck > 0
	case w.plan.strike != "":
		return w.struck > 0
	case w.plan.logFault != "":
		return w.logStruck > 0
	}
	return true
}

// killLeader ends the leading keeper and starts it again later.
func (w *world) killLeader() {
	id, killed := w.quorum.KillLeader()
	if !killed {
		return
	}
	w.later(keeperTime, func() {
		if err := w.quorum.Revive(id); err != nil {
			panic(err)
		}
	})
}
