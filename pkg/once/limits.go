package once

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// limits are the settings of a service object for its once-only records.
type limits struct {
	Timeout    time.Duration
	Retention  time.Duration
	MaxRecords int
	MaxAnswer  int64
}

func limitsOf(s object.Service) limits {
	return limits{
		Timeout:    s.Timeout,
		Retention:  s.Retention,
		MaxRecords: s.MaxRecords,
		MaxAnswer:  s.MaxAnswer,
	}
}

// addDuration adds a duration to a replicated time.
func addDuration(t view.Time, d time.Duration) view.Time { return t + view.Time(d) }
