package gates

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/admission"
	"github.com/sesamemux/sesamemux/pkg/fake/engine"
	"github.com/sesamemux/sesamemux/pkg/permit"
)

func (q *request) admissionRequest() admission.Request {
	return admission.Request{ID: q.id, Organisation: q.organisation, Weight: 1, Cost: float64(q.tokens), Deadline: q.deadline}
}

// request is a simulated request.
type request struct {
	id           uint64
	organisation string
	arrivedAt    time.Duration
	sentAt       time.Duration
	lastTokenAt  time.Duration // 0: no token yet
	blocks       []uint64
	tokens       int
	deadline     time.Duration
	hops         int
	permit       *permit.Permit
	gate         *simGate // holds the permit
	sequence     *engine.Sequence
	counted      bool
	ended        bool
}
