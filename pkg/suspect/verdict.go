package suspect

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// VerdictKind says how a gate must treat a request.
type VerdictKind string

// The verdicts.
const (
	Free      VerdictKind = "free"      // run it as any other
	Trial     VerdictKind = "trial"     // run it with Start, apart from other suspects
	Elsewhere VerdictKind = "elsewhere" // another gate runs its trial: hand over, or refuse as not run
	Waiting   VerdictKind = "waiting"   // its trial runs or awaits judgement: refuse as not run
	Refused   VerdictKind = "refused"   // convicted: refuse as not run
)

// Verdict is the Guard's word on a request.
type Verdict struct {
	Kind       VerdictKind
	Gate       view.GateName // that runs the trial, for Elsewhere; may be empty
	RetryAfter time.Duration
}
