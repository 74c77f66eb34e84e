package permit

import (
	"sync"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// Permit is the right to have one request in flight on a target.
type Permit struct {
	Target      view.TargetID
	Incarnation view.Incarnation

	local   *Local
	started bool // under the Local's lock
	once    sync.Once
}

// Start must be called right before the first byte goes to the target. It is
// false when the share in force no longer has room for the work: the share
// was lowered, or lost with the lease, since the permit was taken.
func (p *Permit) Start() bool { return p.local.start(p) }

// Release gives the permit back once nothing of the request runs on the
// target. Further calls do nothing.
func (p *Permit) Release(end End) {
	p.once.Do(func() { p.local.release(p, end) })
}
