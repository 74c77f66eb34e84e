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
	started bool // guarded by the Local's mutex
	once    sync.Once
}

// Start must be called right before the first byte is sent to the target. It
// returns false when the share in force no longer has room for the request,
// because it was lowered, or lost with the lease, after the permit was acquired.
func (p *Permit) Start() bool { return p.local.start(p) }

// Release returns the permit once nothing of the request runs on the target.
// Further calls have no effect.
func (p *Permit) Release(end End) {
	p.once.Do(func() { p.local.release(p, end) })
}
