package quarantine

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// CrashedTrial is the end of an upstream in a trial of a part.
type CrashedTrial struct {
	Upstream  string             `json:"u"`
	StartedMS int64              `json:"b"`
	Request   view.Fingerprint   `json:"r"`
	Parts     []view.Fingerprint `json:"p"` // that may have ended it: those of the trial that are not known to be harmless
}

// join adds the parts of another trial that ran on the same upstream at its end.
func (t CrashedTrial) join(other CrashedTrial) CrashedTrial {
	joined := slices.Clone(t.Parts)
	for _, f := range other.Parts {
		if !slices.Contains(joined, f) {
			joined = append(joined, f)
		}
	}
	t.Parts = joined
	return t
}

func (t CrashedTrial) sameIncarnation(other CrashedTrial) bool {
	return t.Upstream == other.Upstream && t.StartedMS == other.StartedMS
}
