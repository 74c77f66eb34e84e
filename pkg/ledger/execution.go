package ledger

// Execution is one action that a service recorded.
type Execution struct {
	Serial       int
	Request      string // the caller's ID of the request that was executed
	Organisation string
	Key          string
	Content      string
	Answer       string // body of the service's answer
}
