package permit

import (
	"math/bits"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// rampSteps returns the number of doublings from the cold bound to the maximum.
func (t *target) rampSteps() int {
	return max(1, bits.Len(uint((t.Max-1)/t.Cold)))
}

// doubleBound doubles the bound if the time and the successful requests of the
// current ramp step are reached. It reports whether it did.
func (t *target) doubleBound(now view.Time) bool {
	if t.Bound >= t.Max {
		return false
	}
	stepTime := view.Time(t.RampTime) / view.Time(t.rampSteps())
	if now-t.StepSince < stepTime || t.StepProof < t.Bound {
		return false
	}
	t.Bound = min(2*t.Bound, t.Max)
	t.StepSince = now
	t.StepProof = 0
	return true
}

// resetToCold resets the bound to the cold bound.
func (t *target) resetToCold(now view.Time, rev view.Revision) {
	t.Bound = min(t.Cold, t.Max)
	t.StepSince = now
	t.StepProof = 0
	t.ColdResets++
	t.ResetAt = rev
}

// countResults adds the requests that ended since the gate's last report to the
// ramp step's count. A failure resets that count.
func (t *target) countResults(h *holding, u view.TargetUse) {
	if !h.Known {
		h.Known, h.Finished, h.Failed = true, u.Finished, u.Failed
		return
	}
	if u.Finished > h.Finished {
		t.StepProof = min(t.StepProof+int(u.Finished-h.Finished), 2*t.Max)
	}
	if u.Failed > h.Failed {
		t.StepProof = 0
	}
	h.Finished, h.Failed = max(h.Finished, u.Finished), max(h.Failed, u.Failed)
}
