package retryafter

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestParse(t *testing.T) {
	now := time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, c := range []struct {
		values []string
		want   time.Duration
		bad    bool
	}{
		{nil, 0, false},
		{[]string{"0"}, 0, false},
		{[]string{" 3 "}, 3 * time.Second, false},
		{[]string{"0.25"}, 250 * time.Millisecond, false},
		{[]string{"1e9"}, Max, false},
		{[]string{strings.Repeat("9", 400)}, Max, false},
		{[]string{"1", "7", "2"}, 7 * time.Second, false},
		{[]string{now.Add(9 * time.Second).Format(http.TimeFormat)}, 9 * time.Second, false},
		{[]string{now.Add(-time.Hour).Format(http.TimeFormat)}, 0, false},
		{[]string{""}, 0, true},
		{[]string{"-1"}, 0, true},
		{[]string{"NaN"}, 0, true},
		{[]string{"Inf"}, 0, true},
		{[]string{"0x10"}, 0, true},
		{[]string{"3 s"}, 0, true},
		{[]string{"3", "soon"}, 0, true},
		{[]string{strings.Repeat("x", 10000)}, 0, true},
	} {
		got, err := Parse(c.values, now)
		if got != c.want || (err != nil) != c.bad || err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("%.50q: got %v, %v", c.values, got, err)
		}
		if err != nil && len(err.Error()) > 200 {
			t.Errorf("the error has %d bytes", len(err.Error()))
		}
	}
}
