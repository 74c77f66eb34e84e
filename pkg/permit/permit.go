package permit

import (
	"sync"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// Permit is the right to have one request in flight on a target.
type Permit struct {
	Target      view.TargetID
	Incarnation view.Incarnation

	local *Local
	once  sync.Once
}

// Release gives the permit back once nothing of the request runs on the
// target. Further calls do nothing.
func (p *Permit) Release(end End) {
	p.once.Do(func() { p.local.release(p.Target, p.Incarnation, end) })
}
