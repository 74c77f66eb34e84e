package permit

// End is how the work under a permit ended.
type End int

// The ends of work.
const (
	EndFinished     End = iota // the target answered in full
	EndFailed                  // it broke on the target
	EndInconclusive            // it says nothing of the target, such as a caller that left
)
