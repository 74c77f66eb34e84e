package retry

import "time"

// Failure describes a failed attempt.
type Failure struct {
	NotRun     bool          // no part of the attempt ran
	Idempotent bool          // repeating has no effect besides the additional work
	Attempts   int           // attempts made so far
	Crashes    int           // upstreams that crashed while running this request
	TimeLeft   time.Duration // time until the deadline
	MinTime    time.Duration // shortest time in which another attempt makes sense
}
