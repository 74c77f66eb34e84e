package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/view"
)

var timing = Timing{TTL: 1500 * time.Millisecond, MaxClockDrift: 0.01, ResendInterval: time.Second}

// inFlight is an order that a gate may still send.
type inFlight struct {
	fence    view.Epoch
	deadline clock.Moment
}

// TestNoTwoOrdersRaceToOneHost plays leaders that come and go while gates
// deliver late: an order never leaves while one with another fence can still
// arrive.
func TestNoTwoOrdersRaceToOneHost(t *testing.T) {
	gates := []membership.Session{{Gate: "g1", Incarnation: 1}, {Gate: "g2", Incarnation: 1}}
	rapid.Check(t, func(t *rapid.T) {
		var now clock.Moment
		d := New(timing, now)
		fence := view.Epoch(1)
		var racing []inFlight
		for range 60 {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
				racing = alive(racing, now)
			case 1:
				fence++
			case 2:
				d = New(timing, now)
			case 3:
				via := rapid.SampledFrom(gates).Draw(t, "via")
				orders := []order.Order{{Host: "h", Fence: fence}}
				d.Route(now, orders, func(view.HostName) (membership.Session, bool) { return via, true })
				for _, o := range d.Take(now, via) {
					checkAlone(t, racing, o)
					racing = append(racing, inFlight{fence: o.Fence, deadline: now.Add(timing.TTL)})
				}
			case 4:
				if len(racing) == 0 {
					continue
				}
				d.HandleResult(now, control.OrderResult{Host: "h", Fence: racing[0].fence})
				racing = racing[1:]
			}
		}
	})
}

func alive(orders []inFlight, now clock.Moment) []inFlight {
	var out []inFlight
	for _, o := range orders {
		if o.deadline > now {
			out = append(out, o)
		}
	}
	return out
}

func checkAlone(t *rapid.T, racing []inFlight, o order.Order) {
	for _, r := range racing {
		if r.fence != o.Fence {
			t.Fatalf("order with fence %d leaves while one with fence %d can arrive", o.Fence, r.fence)
		}
	}
}

func TestFailedDeliveryHoldsTheHostUntilItsTTL(t *testing.T) {
	s := membership.Session{Gate: "g1", Incarnation: 1}
	via := func(view.HostName) (membership.Session, bool) { return s, true }
	d := New(timing, 0)
	now := clock.Moment(timing.hold())
	d.Route(now, []order.Order{{Host: "h", Fence: 1}}, via)
	if got := len(d.Take(now, s)); got != 1 {
		t.Fatalf("%d orders left, want 1", got)
	}
	d.HandleResult(now, control.OrderResult{Host: "h", Fence: 1, Error: "timeout"})
	d.Route(now, []order.Order{{Host: "h", Fence: 2}}, via)
	if d.HasPending(s) {
		t.Fatal("an order waits while one whose delivery failed can still arrive")
	}
}
