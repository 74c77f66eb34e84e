package once

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// limits is what a service object says of its once-only records.
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

// after adds a duration to a time of the replicated state.
func after(t view.Time, d time.Duration) view.Time { return t + view.Time(d) }
