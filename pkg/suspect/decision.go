package suspect

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// DecisionKind says how a gate must treat a request.
type DecisionKind string

// The kinds of decisions.
const (
	Unrestricted   DecisionKind = "free"      // run it like any other request
	StartTrial     DecisionKind = "trial"     // run it as a trial, apart from other suspects
	TrialElsewhere DecisionKind = "elsewhere" // another gate runs its trial: hand the request over, or refuse it as not run
	TrialPending   DecisionKind = "waiting"   // its trial is running or waits for a decision: refuse the request as not run
	Refused        DecisionKind = "refused"   // convicted: refuse the request as not run
)

// Decision is the result of Guard.Check.
type Decision struct {
	Kind       DecisionKind
	Gate       view.GateName // gate that runs the trial, for TrialElsewhere; may be empty
	RetryAfter time.Duration
}
