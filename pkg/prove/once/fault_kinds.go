package once

// gateFault is a fault that is injected when a gate reaches a step.
type gateFault string

// The faults of a gate, and of the keepers while a gate is at a step.
const (
	killGate   gateFault = "gate killed"
	freezeGate gateFault = "gate frozen"
	lapseLease gateFault = "gate's lease lapses"
	hostLeaves gateFault = "host leaves"

	killLeader    gateFault = "leading keeper killed"
	isolateLeader gateFault = "leading keeper cut off"
)

// logFault is a fault of a call to the replicated records.
type logFault string

// The faults of the records.
const (
	logRefused     logFault = "records refuse"
	logLostRequest logFault = "request to the records lost"
	logLostReply   logFault = "reply of the records lost"
	logLate        logFault = "request to the records delivered late"
	logOutage      logFault = "no quorum for a while"
)

// logOp is an operation on the records.
type logOp string

// The operations on the records.
const (
	opIntent     logOp = "at the intent"
	opConclusion logOp = "at the outcome"
)
