package suspect

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// DecisionKind says how a gate must treat a request.
type DecisionKind string

// The verdicts.
const (
	Unrestricted   DecisionKind = "free"      // run it as any other
	StartTrial     DecisionKind = "trial"     // run it with Start, apart from other suspects
	TrialElsewhere DecisionKind = "elsewhere" // another gate runs its trial: hand over, or refuse as not run
	TrialPending   DecisionKind = "waiting"   // its trial runs or awaits judgement: refuse as not run
	Refused        DecisionKind = "refused"   // convicted: refuse as not run
)

// Decision is the Guard's word on a request.
type Decision struct {
	Kind       DecisionKind
	Gate       view.GateName // that runs the trial, for Elsewhere; may be empty
	RetryAfter time.Duration
}
