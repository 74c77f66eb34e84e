package suspect

import (
	"cmp"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// crashID names one crash: an incarnation crashes once.
type crashID struct {
	Upstream    view.HostName
	Incarnation view.Incarnation
}

func (a crashID) compare(b crashID) int {
	return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
}

// crash is one crash with all that is known to have run there.
type crash struct {
	ID    crashID
	Order uint64 // rises with each new crash
	At    view.Time
	Ran   map[view.Fingerprint]bool // true: on trial
}

// onlyTrial returns the fingerprint that was on trial in a crash, if it was
// the only one.
func (c *crash) onlyTrial() (view.Fingerprint, bool) {
	var found view.Fingerprint
	n := 0
	for f, trial := range c.Ran {
		if trial {
			found = f
			n++
		}
	}
	return found, n == 1
}
