package dispatch

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Timing holds the time limits of orders.
type Timing struct {
	TTL            time.Duration // limit on the time from a gate's request to its sending of the order
	MaxClockDrift  float64       // largest relative difference of two clock rates, in [0,1)
	ResendInterval time.Duration // time from an answered order to the next one to the host
}

// maxInTransit returns how long an order handed out now can still reach its host.
func (t Timing) maxInTransit() time.Duration {
	return t.TTL + time.Duration(float64(t.TTL)*t.MaxClockDrift)
}

// sentOrder is an order that may be in transit or was answered recently.
type sentOrder struct {
	fence        view.Epoch
	blockedUntil clock.Moment // time from which the next order may be sent
}

// Dispatcher assigns orders to gate sessions. A new one is created at each
// election. It is not safe for concurrent use.
type Dispatcher struct {
	timing  Timing
	readyAt clock.Moment // time from which orders of earlier leaders have expired
	pending map[membership.Session][]order.Order
	sent    map[view.HostName]sentOrder
}

// New returns the dispatcher of a leader elected at now. Orders of an earlier
// leader can be in transit until their TTL, counted from the end of its leadership.
func New(t Timing, now clock.Moment) *Dispatcher {
	return &Dispatcher{
		timing:  t,
		readyAt: now.Add(t.maxInTransit()),
		pending: make(map[membership.Session][]order.Order),
		sent:    make(map[view.HostName]sentOrder),
	}
}

// Route replaces the orders that are pending for gates. via returns the session
// that a host announces itself to.
func (d *Dispatcher) Route(now clock.Moment, orders []order.Order, via func(view.HostName) (membership.Session, bool)) {
	clear(d.pending)
	if now < d.readyAt {
		return
	}
	for _, o := range orders {
		if s, ok := d.sent[o.Host]; ok && now < s.blockedUntil {
			continue
		}
		session, ok := via(o.Host)
		if !ok {
			continue
		}
		d.pending[session] = append(d.pending[session], o)
	}
}

// Take removes and returns the pending orders of a session. The caller has
// confirmed its leadership after the session's request arrived.
func (d *Dispatcher) Take(now clock.Moment, s membership.Session) []order.Order {
	orders := d.pending[s]
	delete(d.pending, s)
	for _, o := range orders {
		d.sent[o.Host] = sentOrder{fence: o.Fence, blockedUntil: now.Add(d.timing.maxInTransit())}
	}
	return orders
}

// HasPending reports whether orders are pending for a session.
func (d *Dispatcher) HasPending(s membership.Session) bool {
	return len(d.pending[s]) > 0
}

// HandleResult records the result of an order. Only an answer from the host
// completes an order; a failed delivery may still arrive until its TTL.
func (d *Dispatcher) HandleResult(now clock.Moment, r control.OrderResult) {
	s, ok := d.sent[r.Host]
	if !ok || s.fence != r.Fence || r.Error != "" {
		return
	}
	s.blockedUntil = min(s.blockedUntil, now.Add(d.timing.ResendInterval))
	d.sent[r.Host] = s
}

// Trim drops the records of orders that can no longer arrive.
func (d *Dispatcher) Trim(now clock.Moment) {
	for h, s := range d.sent {
		if s.blockedUntil <= now {
			delete(d.sent, h)
		}
	}
}

// HasAnyPending reports whether orders are pending for any session.
func (d *Dispatcher) HasAnyPending() bool { return len(d.pending) > 0 }
