package gates

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/admission"
	"github.com/sesamemux/sesamemux/pkg/fake/engine"
	"github.com/sesamemux/sesamemux/pkg/permit"
)

func (q *request) ticket() admission.Request {
	return admission.Request{ID: q.id, Organisation: q.org, Weight: 1, Cost: float64(q.tokens), Deadline: q.deadline}
}

// request is one in the simulation.
type request struct {
	id       uint64
	org      string
	arrived  time.Duration
	sent     time.Duration
	last     time.Duration // of its last token; 0: none yet
	blocks   []uint64
	tokens   int
	deadline time.Duration
	hops     int
	permit   *permit.Permit
	gate     *simGate // that holds the permit
	sequence *engine.Sequence
	counted  bool
	ended    bool
}
