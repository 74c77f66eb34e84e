package retry

// Decision says whether to try again and, if not, why.
type Decision string

// The verdicts.
const (
	Retry            Decision = "again"
	MayHaveRun       Decision = "may-have-run"
	TooManyAttempts  Decision = "too-many-attempts"
	DeadlineExceeded Decision = "deadline"
	TooManyCrashes   Decision = "crashed-two-upstreams"
	BudgetExhausted  Decision = "retry-budget"
	maxCrashes                = 2
	MaxAttempts               = 6 // of one request, the first included
)

// Decide judges a failure. It takes from the budget only for Again.
func Decide(f Failure, b *Budget) Decision {
	switch {
	case !f.NotRun && !f.Idempotent:
		return MayHaveRun
	case f.Crashes >= maxCrashes:
		return TooManyCrashes
	case f.Attempts >= MaxAttempts:
		return TooManyAttempts
	case f.TimeLeft <= f.MinTime:
		return DeadlineExceeded
	case !b.TryAcquire(f.NotRun):
		return BudgetExhausted
	default:
		return Retry
	}
}
