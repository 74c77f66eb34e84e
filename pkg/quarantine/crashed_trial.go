package quarantine

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// maxExplanations limits the parts that may have ended an upstream.
const maxExplanations = 32

// CrashedTrial is the end of an upstream in a trial of a part.
type CrashedTrial struct {
	Upstream  string             `json:"u"`
	StartedMS int64              `json:"b"`
	Request   view.Fingerprint   `json:"r"`
	Tried     int                `json:"n"` // number of parts that the trial was about
	Parts     []view.Fingerprint `json:"p"` // that may have ended it: those of the trial and suspects beside it, not known to be harmless
}

// suspects returns how many parts of the trial itself are left that may have ended its upstream.
func (t CrashedTrial) suspects() int { return min(t.Tried, len(t.Parts)) }

// wasTrial reports whether the end of an upstream is that of a trial.
func (c Crash) wasTrial(t CrashedTrial) bool {
	return c.Upstream == t.Upstream && c.StartedMS == t.StartedMS
}

// explainBy adds parts that may have ended the upstream of a trial of this part.
func (e *Entry) explainBy(end Crash, parts []view.Fingerprint) {
	i := slices.IndexFunc(e.CrashedIn, end.wasTrial)
	if i < 0 || contains(e.CrashedIn[i].Parts, parts) {
		return
	}
	e.CrashedIn = slices.Clone(e.CrashedIn)
	t := &e.CrashedIn[i]
	t.Parts = slices.Clone(t.Parts)
	for _, f := range parts {
		if !slices.Contains(t.Parts, f) && len(t.Parts) < maxExplanations {
			t.Parts = append(t.Parts, f)
		}
	}
}
