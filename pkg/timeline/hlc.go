package timeline

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// HLC is a moment of a hybrid logical clock: wall time with a counter for
// moments that share it.
type HLC struct {
	Wall    int64  // nanoseconds since the Unix epoch
	Logical uint32 // orders moments of equal wall time
}

// Compare orders two moments.
func (h HLC) Compare(o HLC) int {
	return cmp.Or(cmp.Compare(h.Wall, o.Wall), cmp.Compare(h.Logical, o.Logical))
}

// IsZero tells whether no moment is held.
func (h HLC) IsZero() bool { return h == HLC{} }

// Time returns the wall time in UTC.
func (h HLC) Time() time.Time { return time.Unix(0, h.Wall).UTC() }

// String gives the moment as wall.logical, which ParseHLC reads.
func (h HLC) String() string { return fmt.Sprintf("%d.%d", h.Wall, h.Logical) }

// MarshalText implements encoding.TextMarshaler.
func (h HLC) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *HLC) UnmarshalText(text []byte) error {
	v, err := ParseHLC(string(text))
	if err != nil {
		return err
	}
	*h = v
	return nil
}

// ParseHLC reads what String gives.
func ParseHLC(s string) (HLC, error) {
	wall, logical, ok := strings.Cut(s, ".")
	if !ok {
		return HLC{}, ErrInvalidStamp
	}
	w, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return HLC{}, ErrInvalidStamp
	}
	l, err := strconv.ParseUint(logical, 10, 32)
	if err != nil {
		return HLC{}, ErrInvalidStamp
	}
	return HLC{Wall: w, Logical: uint32(l)}, nil
}
