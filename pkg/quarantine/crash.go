package quarantine

import "slices"

// Crash identifies the end of an upstream's process. An incarnation ends once.
type Crash struct {
	Upstream  string `json:"u"`
	StartedMS int64  `json:"b"` // start of the incarnation, as it announced it
	// Assumed is set if the upstream broke off the request or fell silent, and whether its process
	// ended is not known.
	Assumed bool `json:"a,omitempty"`
}

const (
	// suspectCrashes is the number of crashes from which a request is a suspect.
	suspectCrashes = 2
	// suspectFailures is the same for crashes of which some are assumed: more upstreams than one
	// request usually reaches, with its client's own retry.
	suspectFailures = 4
)

// Suspicious reports whether a request with these crashes is a suspect.
func Suspicious(crashes []Crash) bool {
	known := 0
	for _, c := range crashes {
		if !c.Assumed {
			known++
		}
	}
	return known >= suspectCrashes || len(crashes) >= suspectFailures
}

func (c Crash) sameIncarnation(d Crash) bool {
	return c.Upstream == d.Upstream && c.StartedMS == d.StartedMS
}

// addCrash returns the crashes with one more, up to maxCrashes. A known crash replaces an assumed
// one of the same incarnation. It reports whether anything changed.
func addCrash(crashes []Crash, c Crash) ([]Crash, bool) {
	i := slices.IndexFunc(crashes, c.sameIncarnation)
	switch {
	case i >= 0 && (c.Assumed || !crashes[i].Assumed), i < 0 && len(crashes) >= maxCrashes:
		return crashes, false
	case i >= 0:
		crashes = slices.Clone(crashes)
		crashes[i] = c
		return crashes, true
	}
	return append(slices.Clone(crashes), c), true
}
