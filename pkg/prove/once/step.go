package once

// step is a step of a once-only call between its arrival and its reply.
type step string

// The steps of a call, in order.
const (
	beforeIntent     step = "before the intent"
	afterIntent      step = "after the intent"
	beforeDial       step = "before the connection"
	beforeFirstByte  step = "before the first byte"
	midRequest       step = "in the middle of the request"
	afterRequest     step = "after the request"
	afterAnswer      step = "after the answer"
	beforeConclusion step = "before the outcome is recorded"
	afterConclusion  step = "after the outcome is recorded"
)

var allSteps = []step{
	beforeIntent, afterIntent, beforeDial, beforeFirstByte, midRequest,
	afterRequest, afterAnswer, beforeConclusion, afterConclusion,
}

// runsCall reports whether a service runs a call whose gate stops at this step.
func (s step) runsCall() bool {
	switch s {
	case afterRequest, afterAnswer, beforeConclusion, afterConclusion:
		return true
	}
	return false
}
