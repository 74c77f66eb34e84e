package gates

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/admission"
	"github.com/sesamemux/sesamemux/pkg/permit"
)

// choice is the way in which a gate chooses a group.
type choice string

const (
	chooseRouter      choice = "router"       // the scorers of package routing
	chooseRandom      choice = "random"       // at random among the allowed groups
	chooseRoundRobin  choice = "round robin"  // in turn, without permits
	chooseLeastLoaded choice = "least loaded" // by the delayed load report alone, without permits
)

// policy is the configuration of the gates in one variant.
type policy struct {
	name            string
	baseline        bool
	choice          choice
	permits         permit.Options
	unsafeAdmission admission.Unsafe
	maxWait         time.Duration // MaxWait of the admission scheduler
}

// usesPermits reports whether the policy uses permits and admission.
func (p policy) usesPermits() bool { return p.choice == chooseRouter || p.choice == chooseRandom }
