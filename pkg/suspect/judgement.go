package suspect

import "time"

const (
	// noCrashTime is how long a broken trial waits for its upstream's crash to
	// be noticed.
	noCrashTime = 10 * time.Second
	// judgeTime is how long it waits for the keepers once they are told.
	judgeTime = time.Minute
)

// judgement is a trial that broke and awaits what the keepers say.
type judgement struct {
	crashes  int // of the fingerprint when the trial broke
	at       time.Time
	reported bool // the keepers are told of the upstream's crash
}

// over tells whether another trial may be had although the keepers said
// nothing: the upstream did not crash, or they can't be reached.
func (j *judgement) over(now time.Time) bool {
	wait := noCrashTime
	if j.reported {
		wait = judgeTime
	}
	return now.Sub(j.at) > wait
}
