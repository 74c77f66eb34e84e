package retry

// Decision says whether to retry and, if not, why.
type Decision string

// The decisions.
const (
	Retry              Decision = "again"
	MayHaveRun         Decision = "may-have-run"
	TooManyAttempts    Decision = "too-many-attempts"
	DeadlineExceeded   Decision = "deadline"
	TooManyCrashes     Decision = "crashed-two-upstreams"
	BudgetExhausted    Decision = "retry-budget"
	maxUpstreamCrashes          = 2
	MaxAttempts                 = 6 // attempts of one request, including the first
)

// Decide decides on a failure. It takes from the budget only if it returns Retry.
func Decide(f Failure, b *Budget) Decision {
	switch {
	case !f.NotRun && !f.Idempotent:
		return MayHaveRun
	case f.Crashes >= maxUpstreamCrashes:
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
