package ratelimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"pgregory.net/rapid"
)

func TestParse(t *testing.T) {
	for value, want := range map[string]float64{"0": 0, "0.4": 0.4, " 5 ": 5, "1e3": 1000, "1e300": MaxPerSecond, "1e999": MaxPerSecond, "00.50": 0.5} {
		if got, err := Parse([]string{value}); err != nil || got != want {
			t.Errorf("%q: %v, %v", value, got, err)
		}
	}
	for _, value := range []string{"", "-1", "NaN", "Inf", "-Inf", "+infinity", "0x10", "5/s", "1,2", "1_0", "five", "1e", "--1"} {
		if got, err := Parse([]string{value}); !eris.Is(err, ErrMalformed) {
			t.Errorf("%q: %v, %v", value, got, err)
		}
	}
	if got, err := Parse([]string{"7", "3"}); err != nil || got != 3 {
		t.Errorf("two values: %v, %v", got, err)
	}
}

func TestLimitEndsWithAnAnswerToALaterRequestOnly(t *testing.T) {
	s := Statement{PerSecond: 2, Limited: true, At: 5}
	if got := s.Answer(7, 4); got != s {
		t.Errorf("ended by an earlier request: %+v", got)
	}
	if got := s.Answer(7, 6); got.Limited || got.At != 7 {
		t.Errorf("not ended: %+v", got)
	}
}

func TestBucketHoldsLittleAtFirstAndIsBounded(t *testing.T) {
	var b Bucket
	if b.Fill(time.Hour, 5, 2) {
		t.Error("a low limit lets a request through at first")
	}
	if large := (Bucket{}); !large.Fill(0, 1e6, 5e5) {
		t.Error("a large limit holds back the first request")
	}
	sent := 0
	for now := time.Hour; now < time.Hour+10*time.Second; now += 10 * time.Millisecond {
		if b.Fill(now, 5, 2) {
			b.Take()
			sent++
		}
	}
	if sent != 50 && sent != 49 {
		t.Errorf("%d requests in 10 s", sent)
	}
	sent = 0
	for b.Fill(2*time.Hour, 5, 2) {
		b.Take()
		sent++
	}
	if sent != 2 {
		t.Errorf("%d at once after a pause", sent)
	}
}

// TestSharesStayWithinTheLimit: whatever processes want, the shares sum up to the limit, and what all
// of them may send in a window is bounded.
func TestSharesStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0, 100).Draw(t, "limit")
		wanted := map[string]float64{}
		for i := range rapid.IntRange(0, 100).Draw(t, "processes") {
			wanted[fmt.Sprint("e", i)] = rapid.Float64Range(0, 1000).Draw(t, "wanted")
		}
		before := map[string]float64{"e1": 0.5, "e3": 0.5}
		sum, window := 0.0, 0.0
		rate := Statement{PerSecond: limit}.Rate()
		for name, share := range Apportion(limit, wanted, before) {
			if share <= 0 || wanted[name] == 0 && len(wanted) == 1 && share != 1 {
				t.Fatalf("%s has the share %v", name, share)
			}
			sum += share
			window += 4*rate*share + Burst(rate*share)
		}
		if len(wanted) > 0 && math.Abs(sum-1) > 1e-9 {
			t.Fatalf("the shares sum up to %v", sum)
		}
		if window > 6*limit+5 {
			t.Fatalf("%v requests in 4 s at a limit of %v", window, limit)
		}
	})
}
