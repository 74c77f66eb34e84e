package permit

import (
	"math/bits"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// rampSteps is the number of doublings from the cold bound to the maximum.
func (t *target) rampSteps() int {
	return max(1, bits.Len(uint((t.Max-1)/t.Cold)))
}

// doubleBound doubles the bound when its time and its proof are reached.
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

// resetToCold takes the bound back to cold.
func (t *target) resetToCold(now view.Time, rev view.Revision) {
	t.Bound = min(t.Cold, t.Max)
	t.StepSince = now
	t.StepProof = 0
	t.Falls++
	t.FellAt = rev
}

// countResults counts the requests that ended on the target since the last report of
// the gate. A failure starts the proof of the step again.
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
