package ledger

// Execution is one action in a service's own record.
type Execution struct {
	Serial       int
	Request      string // the caller's own ID of the request that ran
	Organisation string
	Key          string
	Content      string
	Answer       string // the body that the service gives for it
}
