package admission

// Reason is why a request was refused.
type Reason string

// The reasons.
const (
	ReasonQueueFull Reason = "queue-full" // the organisation has too many waiting requests
	ReasonWait      Reason = "wait"       // the expected wait is too long
	ReasonDeadline  Reason = "deadline"   // the request can't end before its deadline
)
