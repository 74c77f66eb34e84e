package retry

import "time"

// Failure is what is known when an attempt broke.
type Failure struct {
	NotRun     bool          // nothing of the attempt ran
	Idempotent bool          // repeating has no effect besides the work
	Attempts   int           // made so far
	Crashes    int           // upstreams that crashed under this request
	TimeLeft   time.Duration // until the deadline
	MinTime    time.Duration // least time for another attempt
}
