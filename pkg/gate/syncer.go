package gate

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/leader"
	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/timeline"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	// syncWait is how long the leader may hold a sync back for news.
	syncWait = 200 * time.Millisecond
	// syncTimeout bounds one sync; a silent keeper costs a gate at most this
	// much of its lease before it asks the next.
	syncTimeout = 800 * time.Millisecond
	// syncBackoff is the pause after a sync that failed at once.
	syncBackoff = 50 * time.Millisecond
	// forgetAfter is for how long a silent host is remembered.
	forgetAfter = 30 * time.Second
)

// WorkSource tells what a sync carries besides announcements.
type WorkSource interface {
	Uses() []view.TargetUse
	Settled(v *view.View) []view.GroupID
}

// TargetCounter knows targets' own counts of the work on them.
type TargetCounter interface {
	Counts(v *view.View, targets []view.TargetID) []control.TargetCount
}

// timedOrder is an order with the moment up to which it may be sent.
type timedOrder struct {
	order    order.Order
	deadline clock.Moment
}

// syncer keeps the view and the lease up to date.
type syncer struct {
	self     view.Gate
	caller   *leader.Caller
	clock    clock.Clock
	lease    *membership.Lease
	registry *registry
	source   WorkSource
	counter  TargetCounter
	wanted   []view.TargetID // counts that the last reply asked for
	courier  *courier
	events   Events
	stamps   *timeline.Recorder
	logger   *log.Logger
	changed  func() // brings the stored view into force before it is acknowledged

	view atomic.Pointer[view.View]
	full bool // the next sync asks for the whole view
	held bool // the lease was valid after the last sync
}

// current returns the view in force; revision 0 before the first sync.
func (s *syncer) current() *view.View { return s.view.Load() }

// run syncs until ctx ends.
func (s *syncer) run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.sync(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(syncBackoff):
		}
	}
}

// sync does one round and tells whether it was answered.
func (s *syncer) sync(ctx context.Context) bool {
	defer s.noteLease()
	v := s.current()
	heard, gone := s.registry.take()
	results := s.courier.results()
	req := control.SyncRequest{
		Gate:    s.self,
		InForce: v.Revision,
		WaitMS:  syncWait.Milliseconds(),
		Heard:   heard,
		Gone:    gone,
		Uses:    s.source.Uses(),
		Orders:  results,
		Settled: s.source.Settled(v),
		Counts:  s.counter.Counts(v, s.wanted),
		Clock:   s.stamps.Stamp(),
	}
	if s.full {
		req.InForce = 0
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	sent := s.clock.Now()
	var reply control.SyncReply
	if err := s.caller.CallOnce(ctx, control.MethodGateSync, req, &reply); err != nil {
		s.logger.Debug("sync failed", "err", err)
		s.courier.putBack(results)
		return false
	}
	if reply.Leader != "" {
		s.caller.Found(reply.Leader)
	}
	s.stamps.Observe(reply.Clock)
	s.registry.confirm(heard, gone, sent)
	s.registry.trim(sent.Add(-forgetAfter))
	if reply.Resend {
		s.registry.resend()
	}
	return s.take(reply, sent)
}

// take installs what a reply brings, the view before the lease.
func (s *syncer) take(reply control.SyncReply, sent clock.Moment) bool {
	if reply.Delta != nil && !s.installDelta(reply.Delta) {
		return false
	}
	if reply.LeaseMillis > 0 {
		s.lease.Extend(sent, time.Duration(reply.LeaseMillis)*time.Millisecond)
	}
	s.wanted = reply.Count
	deadline := sent.Add(time.Duration(reply.OrderTTLMS) * time.Millisecond)
	for _, o := range reply.Orders {
		s.courier.take(timedOrder{order: o, deadline: deadline})
	}
	return reply.LeaseMillis > 0
}

// installDelta brings the view up to date, or asks for the whole one next
// time.
func (s *syncer) installDelta(d *view.Delta) bool {
	next, err := s.current().Install(d)
	if err != nil {
		s.logger.Warn("view delta refused", "err", err)
		s.full = true
		return false
	}
	s.full = false
	s.view.Store(next)
	s.changed()
	s.events.ViewInstalled(next.Revision)
	return true
}

// noteLease logs when the lease is lost or held again.
func (s *syncer) noteLease() {
	valid := s.lease.Valid()
	if valid == s.held {
		return
	}
	s.held = valid
	s.events.LeaseChanged(valid, s.current().Revision)
	s.logger.Info("lease changed", "valid", valid, "revision", s.current().Revision)
}

// signOff tells the leader that this gate has given its lease up.
func (s *syncer) signOff(ctx context.Context) {
	s.lease.Release()
	req := control.SyncRequest{Gate: s.self, InForce: s.current().Revision, Leaving: true, Clock: s.stamps.Stamp()}
	var reply control.SyncReply
	if err := s.caller.Call(ctx, control.MethodGateSync, req, &reply); err != nil {
		s.logger.Warn("sign-off was not heard; the lease runs out", "err", err)
	}
}
