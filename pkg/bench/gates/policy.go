package gates

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/admission"
	"github.com/sesamemux/sesamemux/pkg/permit"
)

// choice is how a gate chooses among groups.
type choice string

const (
	chooseRouter     choice = "router"       // the product's scorers
	chooseRandom     choice = "random"       // any group that is allowed
	chooseRoundRobin choice = "round robin"  // in turn, no permits
	chooseLeast      choice = "least loaded" // by the late report alone, no permits
)

// policy is one way of running the gates.
type policy struct {
	name     string
	baseline bool
	choice   choice
	permits  permit.Options
	admit    admission.Unsafe
	wait     time.Duration // admission's MaxWait
}

// bounded tells whether the policy keeps to permits and admission.
func (p policy) bounded() bool { return p.choice == chooseRouter || p.choice == chooseRandom }
