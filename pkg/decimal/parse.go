// Package decimal reads decimal numbers in header fields of other processes.
package decimal

import (
	"math"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrMalformed is returned for a value that is not a decimal number of at least 0.
var ErrMalformed = eris.New("not a decimal number of at least 0")

// maxShown limits the bytes of a value in an error.
const maxShown = 40

// Parse returns the number that a value holds. One that is too large is positive infinity.
func Parse(v string) (float64, error) {
	v = strings.TrimSpace(v)
	n, err := strconv.ParseFloat(v, 64)
	tooLarge := eris.Is(err, strconv.ErrRange) && math.IsInf(n, 1)
	if err != nil && !tooLarge || strings.Trim(v, "0123456789.eE+-") != "" || !(n >= 0) {
		return 0, eris.Wrapf(ErrMalformed, "value %q", v[:min(len(v), maxShown)])
	}
	return n, nil
}
