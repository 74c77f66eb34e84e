package suspect

import (
	"cmp"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// crashID identifies a crash. An incarnation crashes only once.
type crashID struct {
	Upstream    view.HostName
	Incarnation view.Incarnation
}

func (a crashID) compare(b crashID) int {
	return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
}

// crash is a crash with all requests that are known to have run there.
type crash struct {
	ID    crashID
	Order uint64 // increases with each new crash
	At    view.Time
	Ran   map[view.Fingerprint]bool // value is true if the request was on trial
}

// soleTrial returns the fingerprint that was on trial in a crash, if there was exactly one.
func (c *crash) soleTrial() (view.Fingerprint, bool) {
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
