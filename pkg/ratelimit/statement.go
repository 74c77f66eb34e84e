package ratelimit

import (
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/decimal"
)

// ErrMalformed is returned for a value that is not a decimal number of at least 0.
var ErrMalformed = eris.New("limit is not a decimal number of at least 0")

const (
	// MinPerSecond is the rate that an upstream gets whatever it says: an answer must tell when its
	// limit ends.
	MinPerSecond = 0.25
	// EndedTime is how long processes tell each other that a limit has ended.
	EndedTime = 10 * time.Second
	// MaxPerSecond stands for limits that no deployment reaches.
	MaxPerSecond = 1e6
)

// Statement is what an upstream said last about its limit.
type Statement struct {
	PerSecond float64 // requests; with Limited
	Limited   bool
	At        time.Duration // on the clock of the process that keeps it; 0 if it has said nothing
}

// Parse returns the limit that an answer names, the lowest if there are several.
func Parse(values []string) (float64, error) {
	lowest := math.Inf(1)
	for _, v := range values {
		n, err := decimal.Parse(v)
		if err != nil {
			return 0, eris.Wrap(ErrMalformed, err.Error())
		}
		lowest = min(lowest, n)
	}
	return min(lowest, MaxPerSecond), nil
}

// Answer returns the statement after an answer without a limit, to a request sent at a time. Only one
// sent after the last statement ends the limit; earlier answers may overtake each other.
func (s Statement) Answer(now, sentAt time.Duration) Statement {
	if s.Limited && sentAt > s.At {
		return Statement{At: now}
	}
	return s
}

// Rate returns the requests a second that the upstream may get.
func (s Statement) Rate() float64 { return max(s.PerSecond, MinPerSecond) }

// Told reports whether other processes must be told of the statement.
func (s Statement) Told(now time.Duration) bool {
	return s.Limited || s.At != 0 && now-s.At <= EndedTime
}

// Changes reports whether processes that hold s must learn of t soon.
func (s Statement) Changes(t Statement) bool {
	return s.Limited != t.Limited || math.Abs(s.PerSecond-t.PerSecond) > changeShare*s.PerSecond
}

// changeShare is the change of a limit below which it is not sent at once.
const changeShare = 0.05
