// Package retryafter reads the Retry-After header.
package retryafter

import (
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/decimal"
)

// ErrMalformed is returned for a value that is neither a number of seconds of at least 0 nor a date.
var ErrMalformed = eris.New("Retry-After is neither a number of seconds nor a date")

// Max stands for longer times.
const Max = 24 * time.Hour

// Parse returns the longest time that the values name, in [0,Max]. Seconds may have a fraction. A date is
// compared with the time of day of the receiver.
func Parse(values []string, now time.Time) (time.Duration, error) {
	longest := time.Duration(0)
	for _, v := range values {
		d, err := parseOne(strings.TrimSpace(v), now)
		if err != nil {
			return 0, err
		}
		longest = max(longest, d)
	}
	return longest, nil
}

func parseOne(v string, now time.Time) (time.Duration, error) {
	if at, err := http.ParseTime(v); err == nil {
		return min(max(at.Sub(now), 0), Max), nil
	}
	seconds, err := decimal.Parse(v)
	if err != nil {
		return 0, eris.Wrap(ErrMalformed, err.Error())
	}
	return time.Duration(min(seconds, Max.Seconds()) * float64(time.Second)), nil
}
