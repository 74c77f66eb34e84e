package ratelimit

import "time"

// firstFill is the time for which a new bucket is filled, so that only low limits hold back the first
// request.
const firstFill = 100 * time.Millisecond

// Bucket holds the requests that one process may send now. The zero value is a new one.
type Bucket struct {
	tokens float64
	at     time.Duration // of the last fill; 0: never
}

// Fill adds what has accrued at a rate in requests a second since the last fill, up to burst. It
// returns whether a request may be sent.
func (b *Bucket) Fill(now time.Duration, rate, burst float64) bool {
	accrued := firstFill
	if b.at != 0 {
		accrued = now - b.at
	}
	b.tokens = min(b.tokens+rate*accrued.Seconds(), burst)
	b.at = max(now, 1)
	return b.tokens >= 1
}

// Take takes a request.
func (b *Bucket) Take() { b.tokens-- }
