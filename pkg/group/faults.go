package group

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	faultsTolerated = 2                // within faultMemory, before damping starts
	faultMemory     = time.Hour        // after this time without a fault the count drops by one
	dampingStep     = 15 * time.Second // initial penalty; doubles with each further fault
	dampingBound    = 10 * time.Minute
)

// faults counts how often a host was lost or restarted recently.
type faults struct {
	Count int
	At    view.Time // time of the last fault
}

// current returns the count without the faults that have expired.
func (f faults) current(now view.Time) int {
	forgotten := int(time.Duration(now-f.At) / faultMemory)
	return max(0, f.Count-forgotten)
}

// add returns the count with one more fault.
func (f faults) add(now view.Time) faults {
	return faults{Count: f.current(now) + 1, At: now}
}

// damped reports whether the host should get no role yet.
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

// flapping reports whether the host should be replaced if a spare is free.
func (f faults) flapping(now view.Time) bool {
	return f.current(now) > faultsTolerated
}
