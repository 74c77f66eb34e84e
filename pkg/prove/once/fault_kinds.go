package once

// strike is what happens at a step.
type strike string

// The strikes on a gate, and on the keepers while a gate is at a step.
const (
	kill    strike = "gate killed"
	freeze  strike = "gate frozen"
	silence strike = "gate's lease lapses"
	leave   strike = "host leaves"

	killLeader strike = "leading keeper killed"
	cutLeader  strike = "leading keeper cut off"
)

// logFault is how a call to the replicated records fails.
type logFault string

// The faults of the records.
const (
	logRefused     logFault = "records refuse"
	logLostRequest logFault = "request to the records lost"
	logLostReply   logFault = "reply of the records lost"
	logLate        logFault = "request to the records delivered late"
	logOutage      logFault = "no quorum for a while"
)

// logOp is an operation of the records.
type logOp string

// The operations of the records.
const (
	opIntent     logOp = "at the intent"
	opConclusion logOp = "at the outcome"
)
