package admission

// Reason says why a request was refused.
type Reason string

// The reasons.
const (
	ReasonQueueFull Reason = "queue-full" // the organisation has too many waiting
	ReasonWait      Reason = "wait"       // it would wait for too long
	ReasonDeadline  Reason = "deadline"   // it can't end before its deadline
)
