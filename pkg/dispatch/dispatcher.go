package dispatch

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Timing holds the life of an order.
type Timing struct {
	TTL            time.Duration // a gate sends an order no later than this after its request
	MaxClockDrift  float64       // share by which two clocks may run apart, in [0,1)
	ResendInterval time.Duration // from an answered order to the next one to the host
}

// hold is how long an order handed out now can still reach its host.
func (t Timing) hold() time.Duration {
	return t.TTL + time.Duration(float64(t.TTL)*t.MaxClockDrift)
}

// sent is an order that is under way or was answered lately.
type sent struct {
	fence view.Epoch
	until clock.Moment // the next order may go out from here on
}

// Dispatcher hands out orders. It is made anew at each election and used by
// one goroutine at a time.
type Dispatcher struct {
	timing  Timing
	from    clock.Moment // orders of earlier leaders have expired from here on
	waiting map[membership.Session][]order.Order
	sent    map[view.HostName]sent
}

// New returns the dispatcher of a leader elected at now. Orders of an earlier
// leader can be under way until their TTL, counted from leases' end.
func New(t Timing, now clock.Moment) *Dispatcher {
	return &Dispatcher{
		timing:  t,
		from:    now.Add(t.hold()),
		waiting: make(map[membership.Session][]order.Order),
		sent:    make(map[view.HostName]sent),
	}
}

// Route replaces the orders that wait for gates. via tells which session hears
// a host.
func (d *Dispatcher) Route(now clock.Moment, orders []order.Order, via func(view.HostName) (membership.Session, bool)) {
	clear(d.waiting)
	if now < d.from {
		return
	}
	for _, o := range orders {
		if s, ok := d.sent[o.Host]; ok && now < s.until {
			continue
		}
		session, ok := via(o.Host)
		if !ok {
			continue
		}
		d.waiting[session] = append(d.waiting[session], o)
	}
}

// Take hands a session its orders. The caller has confirmed its leadership
// after the session's request arrived.
func (d *Dispatcher) Take(now clock.Moment, s membership.Session) []order.Order {
	orders := d.waiting[s]
	delete(d.waiting, s)
	for _, o := range orders {
		d.sent[o.Host] = sent{fence: o.Fence, until: now.Add(d.timing.hold())}
	}
	return orders
}

// HasPending tells whether there are orders for a session.
func (d *Dispatcher) HasPending(s membership.Session) bool {
	return len(d.waiting[s]) > 0
}

// HandleResult notes how an order ended. Only an answer of the host itself ends
// it; a failed delivery may still arrive until its TTL.
func (d *Dispatcher) HandleResult(now clock.Moment, r control.OrderResult) {
	s, ok := d.sent[r.Host]
	if !ok || s.fence != r.Fence || r.Error != "" {
		return
	}
	s.until = min(s.until, now.Add(d.timing.ResendInterval))
	d.sent[r.Host] = s
}

// Trim forgets orders that can no longer arrive.
func (d *Dispatcher) Trim(now clock.Moment) {
	for h, s := range d.sent {
		if s.until <= now {
			delete(d.sent, h)
		}
	}
}

// HasAnyPending tells whether orders wait for any session.
func (d *Dispatcher) HasAnyPending() bool { return len(d.waiting) > 0 }
