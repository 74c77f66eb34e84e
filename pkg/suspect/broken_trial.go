package suspect

import "time"

const (
	// crashDetectionTimeout is how long a broken trial waits for its upstream's crash to be
	// noticed.
	crashDetectionTimeout = 10 * time.Second
	// decisionTimeout is how long it waits for the keepers' decision after the crash was reported.
	decisionTimeout = time.Minute
)

// brokenTrial is a trial that broke off and waits for the keepers' decision.
type brokenTrial struct {
	crashes       int // crashes of the fingerprint when the trial broke off
	at            time.Time
	crashReported bool // the upstream's crash was reported to the keepers
}

// expired reports whether another trial may start without a decision of the keepers, because the
// upstream did not crash or the keepers can't be reached.
func (t *brokenTrial) expired(now time.Time) bool {
	wait := crashDetectionTimeout
	if t.crashReported {
		wait = decisionTimeout
	}
	return now.Sub(t.at) > wait
}
