package inifile

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Integer is the constraint of the values that Int binds.
type Integer interface {
	~int | ~int64 | ~uint64
}

// Int binds an integer in [lo, hi].
func Int[T Integer](key string, p *T, lo, hi T, doc string) Field {
	return Field{
		Key: key, Doc: doc,
		Allowed: fmt.Sprintf("%d to %d", lo, hi),
		Set: func(s string) error {
			n, err := parseInt[T](s)
			if err != nil {
				return err
			}
			*p = n
			return nil
		},
		Get:   func() string { return fmt.Sprint(*p) },
		Check: func() error { return inRange(*p, lo, hi, fmt.Sprint(*p)) },
	}
}

func parseInt[T Integer](s string) (T, error) {
	if n, err := strconv.ParseInt(s, 10, 64); err == nil && int64(T(n)) == n && (T(n) < 0) == (n < 0) {
		return T(n), nil
	}
	if n, err := strconv.ParseUint(s, 10, 64); err == nil && uint64(T(n)) == n && T(n) > 0 {
		return T(n), nil
	}
	return 0, fmt.Errorf("%q is not a whole number", truncate(s))
}

func inRange[T ~int | ~int64 | ~uint64](v, lo, hi T, text string) error {
	if v < lo || v > hi {
		return fmt.Errorf("%s is out of range", text)
	}
	return nil
}

// byteUnits are the suffixes that Bytes accepts, smallest unit first.
var byteUnits = []struct {
	suffix string
	size   int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"TiB", 1 << 40}}

// Bytes binds a size in bytes in [lo, hi], with an optional suffix KiB, MiB, GiB or TiB.
func Bytes(key string, p *int64, lo, hi int64, doc string) Field {
	return Field{
		Key: key, Doc: doc,
		Allowed: fmt.Sprintf("%s to %s, as bytes or with KiB, MiB, GiB, TiB", formatBytes(lo), formatBytes(hi)),
		Set: func(s string) error {
			n, err := parseBytes(s)
			if err != nil {
				return err
			}
			*p = n
			return nil
		},
		Get:   func() string { return formatBytes(*p) },
		Check: func() error { return inRange(*p, lo, hi, formatBytes(*p)) },
	}
}

func parseBytes(s string) (int64, error) {
	unit := int64(1)
	digits := s
	for _, u := range byteUnits {
		if rest, ok := strings.CutSuffix(s, u.suffix); ok {
			unit = u.size
			digits = strings.TrimSpace(rest)
		}
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || n < 0 || n > math.MaxInt64/unit {
		return 0, fmt.Errorf("%q is not a size in bytes", truncate(s))
	}
	return n * unit, nil
}

// formatBytes uses the largest unit that divides the size.
func formatBytes(n int64) string {
	for _, u := range slices.Backward(byteUnits) {
		if n != 0 && n%u.size == 0 {
			return strconv.FormatInt(n/u.size, 10) + u.suffix
		}
	}
	return strconv.FormatInt(n, 10)
}

// Duration binds a duration in [lo, hi].
func Duration(key string, p *time.Duration, lo, hi time.Duration, doc string) Field {
	return Field{
		Key: key, Doc: doc,
		Allowed: fmt.Sprintf("%s to %s", formatDuration(lo), formatDuration(hi)),
		Set: func(s string) error {
			d, err := time.ParseDuration(s)
			if err != nil {
				return fmt.Errorf("%q is not a duration such as 1.5s or 2m", truncate(s))
			}
			*p = d
			return nil
		},
		Get:   func() string { return formatDuration(*p) },
		Check: func() error { return inRange(*p, lo, hi, formatDuration(*p)) },
	}
}

// formatDuration formats a duration without the trailing zero units of
// Duration.String.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// Bool binds a boolean, written as yes or no.
func Bool(key string, p *bool, doc string) Field {
	return Field{
		Key: key, Doc: doc,
		Allowed: "yes or no",
		Set: func(s string) error {
			switch s {
			case "yes":
				*p = true
			case "no":
				*p = false
			default:
				return fmt.Errorf("%q is neither yes nor no", truncate(s))
			}
			return nil
		},
		Get: func() string {
			if *p {
				return "yes"
			}
			return "no"
		},
		Check: func() error { return nil },
	}
}

// Text binds a string that check accepts; allowed describes the accepted values. A nil
// check accepts every string.
func Text[T ~string](key string, p *T, allowed string, check func(string) error, doc string) Field {
	return Field{
		Key: key, Doc: doc,
		Allowed: allowed,
		Set: func(s string) error {
			*p = T(s)
			return nil
		},
		Get: func() string { return string(*p) },
		Check: func() error {
			if check == nil {
				return nil
			}
			return check(string(*p))
		},
	}
}

// List binds a comma-separated list. Each element is parsed by parse, formatted by
// format and validated by check.
func List[T any](key string, p *[]T, allowed string, parse func(string) (T, error), format func(T) string, check func(T) error, doc string) Field {
	return Field{
		Key: key, Doc: doc,
		Allowed: allowed,
		Set: func(s string) error {
			list, err := parseList(s, parse)
			if err != nil {
				return err
			}
			*p = list
			return nil
		},
		Get: func() string {
			parts := make([]string, len(*p))
			for i, e := range *p {
				parts[i] = format(e)
			}
			return strings.Join(parts, ", ")
		},
		Check: func() error { return checkList(*p, format, check) },
	}
}

func parseList[T any](s string, parse func(string) (T, error)) ([]T, error) {
	if s == "" {
		return nil, nil
	}
	var list []T
	for part := range strings.SplitSeq(s, ",") {
		e, err := parse(strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		list = append(list, e)
	}
	return list, nil
}

// checkList rejects elements that are not allowed or listed twice.
func checkList[T any](list []T, format func(T) string, check func(T) error) error {
	seen := make(map[string]bool, len(list))
	for _, e := range list {
		if err := check(e); err != nil {
			return err
		}
		text := format(e)
		if seen[text] {
			return fmt.Errorf("%q is listed twice", text)
		}
		seen[text] = true
	}
	return nil
}

// Strings binds a comma-separated list of strings.
func Strings(key string, p *[]string, allowed string, check func(string) error, doc string) Field {
	same := func(s string) string { return s }
	read := func(s string) (string, error) {
		if s == "" {
			return "", fmt.Errorf("list has an empty element")
		}
		return s, nil
	}
	return List(key, p, allowed, read, same, check, doc)
}
