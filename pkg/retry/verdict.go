package retry

// Verdict says whether to try again and, if not, why.
type Verdict string

// The verdicts.
const (
	Again       Verdict = "again"
	MayHaveRun  Verdict = "may-have-run"
	TooMany     Verdict = "too-many-attempts"
	PastLimit   Verdict = "deadline"
	TwoCrashes  Verdict = "crashed-two-upstreams"
	NoBudget    Verdict = "retry-budget"
	maxCrashes          = 2
	MaxAttempts         = 6 // of one request, the first included
)

// Decide judges a failure. It takes from the budget only for Again.
func Decide(f Failure, b *Budget) Verdict {
	switch {
	case !f.NotRun && !f.Harmless:
		return MayHaveRun
	case f.Crashes >= maxCrashes:
		return TwoCrashes
	case f.Attempts >= MaxAttempts:
		return TooMany
	case f.Left <= f.Need:
		return PastLimit
	case !b.Take(f.NotRun):
		return NoBudget
	default:
		return Again
	}
}
