package once

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/fake/service"
)

// slowMS is a delay in milliseconds that exceeds the time limit of a call.
const slowMS = 15_000

// faultsPerService is how many calls a fault affects on each host of the service.
const faultsPerService = 2

// faultsOnAllServices is how many calls a fault affects on all hosts of the service.
const faultsOnAllServices = faultsPerService * hostCount

// stepsPerChaosFault is the average number of steps per fault in a run with all faults.
const stepsPerChaosFault = 10

var (
	chaosGateFaults    = []gateFault{killGate, freezeGate, lapseLease, hostLeaves}
	chaosKeeperFaults  = []gateFault{killLeader, isolateLeader}
	chaosLogFaults     = []logFault{logRefused, logLostRequest, logLostReply, logLate}
	chaosServiceFaults = []service.FaultKind{
		service.FaultCutBefore, service.FaultCutAfter, service.FaultCutAnswer, service.FaultSlow,
		service.FaultLoseReply, service.FaultUnavailableAfter, service.FaultUnavailable, service.FaultRedirect,
	}
)

// nextGateFault returns the fault to inject at a step, if any.
func (w *world) nextGateFault(s step) (gateFault, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.healed {
		return "", false
	}
	if w.plan.chaos && w.rand.IntN(stepsPerChaosFault) == 0 {
		w.gateFaults++
		if w.quorum != nil && w.rand.IntN(3) == 0 {
			return chaosKeeperFaults[w.rand.IntN(len(chaosKeeperFaults))], true
		}
		return chaosGateFaults[w.rand.IntN(len(chaosGateFaults))], true
	}
	if w.plan.gateFault == "" || w.plan.step != s || w.gateFaults > 0 {
		return "", false
	}
	w.gateFaults++
	return w.plan.gateFault, true
}

// nextLogFault returns the fault of a call to the records, if any.
func (w *world) nextLogFault(op logOp) logFault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.healed {
		return ""
	}
	if w.plan.chaos && w.rand.IntN(stepsPerChaosFault) == 0 {
		w.logFaults++
		return chaosLogFaults[w.rand.IntN(len(chaosLogFaults))]
	}
	if w.plan.logFault == logOutage {
		return w.outage(op)
	}
	if w.plan.logFault == "" || w.plan.logOp != op || w.logFaults >= logFaultCount {
		return ""
	}
	w.logFaults++
	return w.plan.logFault
}

// outage starts at the first planned operation and affects all operations until its end.
func (w *world) outage(op logOp) logFault {
	if w.outageEnd.IsZero() && w.plan.logOp == op {
		w.outageEnd = time.Now().Add(outageTime)
	}
	if w.outageEnd.IsZero() || time.Now().After(w.outageEnd) {
		return ""
	}
	w.logFaults++
	return logOutage
}

// injectServiceFaults injects the planned faults into the services.
func (w *world) injectServiceFaults() {
	switch {
	case w.plan.chaos:
		for _, s := range w.services {
			s.SetFault(service.Fault{Kind: chaosServiceFaults[w.randomN(len(chaosServiceFaults))], Count: faultsPerService, DelayMS: slowMS})
		}
	case w.plan.serviceFault != "":
		for _, s := range w.services {
			s.SetFault(service.Fault{Kind: w.plan.serviceFault, Count: faultsPerService, DelayMS: slowMS})
		}
	}
}

// faultInjected reports whether the planned fault was injected.
func (w *world) faultInjected() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.plan.chaos:
		return w.gateFaults+w.logFaults > 0
	case w.plan.gateFault != "":
		return w.gateFaults > 0
	case w.plan.logFault != "":
		return w.logFaults > 0
	}
	return true
}

// killLeader kills the leading keeper and restarts it after keeperTime.
func (w *world) killLeader() {
	id, killed := w.quorum.KillLeader()
	if !killed {
		return
	}
	w.later(keeperTime, func() {
		if err := w.quorum.RestartReplica(id); err != nil {
			panic(err)
		}
	})
}
