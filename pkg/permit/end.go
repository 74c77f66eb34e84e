package permit

// End is the result of the request that held a permit.
type End int

// Results of a request.
const (
	EndFinished     End = iota // the target sent a complete response
	EndFailed                  // the request failed on the target
	EndInconclusive            // no evidence about the target, for example when the caller disconnected
)
