package group

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	faultsTolerated = 2                // in faultMemory, before damping begins
	faultMemory     = time.Hour        // after which one fault is forgotten
	dampingStep     = 15 * time.Second // first damping; doubles with each fault
	dampingBound    = 10 * time.Minute
)

// faults counts how often a host was lost or restarted lately.
type faults struct {
	Count int
	At    view.Time // of the last one
}

// current is the count with old faults forgotten.
func (f faults) current(now view.Time) int {
	forgotten := int(time.Duration(now-f.At) / faultMemory)
	return max(0, f.Count-forgotten)
}

// add counts one more fault.
func (f faults) add(now view.Time) faults {
	return faults{Count: f.current(now) + 1, At: now}
}

// damped tells whether the host should get no role yet.
func (f faults) damped(now view.Time) bool {
	n := f.current(now) - faultsTolerated
	if n <= 0 {
		return false
	}
	wait := dampingBound
	if n < 8 {
		wait = min(dampingBound, dampingStep<<(n-1))
	}
	return time.Duration(now-f.At) < wait
}

// flapping tells whether the host should be replaced where a spare is free.
func (f faults) flapping(now view.Time) bool {
	return f.current(now) > faultsTolerated
}
