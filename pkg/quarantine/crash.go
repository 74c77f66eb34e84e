package quarantine

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// Crash identifies the end of an upstream's process. An incarnation ends once.
type Crash struct {
	Upstream  string `json:"u"`
	StartedMS int64  `json:"b"` // start of the incarnation, as it announced it
	// Assumed is set if the upstream broke off the request or fell silent, and whether its process
	// ended is not known.
	Assumed bool `json:"a,omitempty"`
	// Request is the request that was running, if a part of its prompt is accused. It is empty if
	// the request as a whole is.
	Request view.Fingerprint `json:"r,omitempty"`
	// Shared is set if more than one request with the part was running.
	Shared bool `json:"s,omitempty"`
}

const (
	// suspectCrashes is the number of crashes from which a request is a suspect.
	suspectCrashes = 2
	// suspectFailures is the same for crashes of which some are assumed. What ends upstreams silently
	// has then ended no more of them than may be before its further runs are counted.
	suspectFailures = 3
)

// Suspicious reports whether a request, or a part, with these crashes is a suspect. Crashes under one
// request alone do not make its parts suspects.
func Suspicious(crashes []Crash) bool {
	if accusesPart(crashes) && !underSeveralRequests(crashes) {
		return false
	}
	return knownCrashes(crashes) >= suspectCrashes || len(crashes) >= suspectFailures
}

func knownCrashes(crashes []Crash) int {
	known := 0
	for _, c := range crashes {
		if !c.Assumed {
			known++
		}
	}
	return known
}

func accusesPart(crashes []Crash) bool { return len(crashes) > 0 && crashes[0].Request != "" }

func underSeveralRequests(crashes []Crash) bool {
	return slices.ContainsFunc(crashes, func(c Crash) bool { return c.Shared || c.Request != crashes[0].Request })
}

// merge returns what two reports of the end of one incarnation say.
func (c Crash) merge(d Crash) Crash {
	c.Assumed = c.Assumed && d.Assumed
	c.Shared = c.Shared || d.Shared || c.Request != d.Request
	return c
}

func (c Crash) sameIncarnation(d Crash) bool {
	return c.Upstream == d.Upstream && c.StartedMS == d.StartedMS
}

// addCrash returns the crashes with one more, up to maxCrashes. Reports of the same incarnation are
// one crash, which is known if one of them is. It reports whether anything changed.
func addCrash(crashes []Crash, c Crash) ([]Crash, bool) {
	i := slices.IndexFunc(crashes, c.sameIncarnation)
	switch {
	case i >= 0 && crashes[i].merge(c) == crashes[i], i < 0 && len(crashes) >= maxCrashes:
		return crashes, false
	case i >= 0:
		crashes = slices.Clone(crashes)
		crashes[i] = crashes[i].merge(c)
		return crashes, true
	}
	return append(slices.Clone(crashes), c), true
}
