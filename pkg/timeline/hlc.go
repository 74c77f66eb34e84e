package timeline

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// HLC is a timestamp of a hybrid logical clock: wall time with a counter that
// orders timestamps of equal wall time.
type HLC struct {
	Wall    int64  // nanoseconds since the Unix epoch
	Logical uint32 // counter among timestamps of equal wall time
}

// Compare returns -1, 0 or +1 if h is before, equal to or after o.
func (h HLC) Compare(o HLC) int {
	return cmp.Or(cmp.Compare(h.Wall, o.Wall), cmp.Compare(h.Logical, o.Logical))
}

// IsZero reports whether h is the zero timestamp.
func (h HLC) IsZero() bool { return h == HLC{} }

// Time returns the wall time in UTC.
func (h HLC) Time() time.Time { return time.Unix(0, h.Wall).UTC() }

// String formats the timestamp as wall.logical, which ParseHLC parses.
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

// ParseHLC parses the format of String.
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
