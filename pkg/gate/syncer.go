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
	// syncLongPoll is how long the leader may delay the reply to a sync until there is a
	// change.
	syncLongPoll = 200 * time.Millisecond
	// syncTimeout limits one sync. A keeper that does not answer costs a gate at most
	// this much of its lease before the gate tries the next keeper.
	syncTimeout = 800 * time.Millisecond
	// syncBackoff is the pause after a failed sync.
	syncBackoff = 50 * time.Millisecond
	// silentHostRetention is how long a host that stopped announcing itself is kept.
	silentHostRetention = 30 * time.Second
)

// WorkSource provides the use of targets and the settled groups for each sync.
type WorkSource interface {
	Uses() []view.TargetUse
	Settled(v *view.View) []view.GroupID
}

// TargetCounter provides the targets' own counts of the requests running on them.
type TargetCounter interface {
	Counts(v *view.View, targets []view.TargetID) []control.TargetCount
}

// timedOrder is an order with the deadline for sending it.
type timedOrder struct {
	order    order.Order
	deadline clock.Moment
}

// syncer keeps the view and the lease up to date by syncing with the keepers.
type syncer struct {
	self          view.Gate
	caller        *leader.Caller
	clock         clock.Clock
	lease         *membership.Lease
	registry      *registry
	source        WorkSource
	counter       TargetCounter
	wantedCounts  []view.TargetID // counts requested by the last reply
	orders        *orderSender
	events        Events
	timeline      *timeline.Recorder
	logger        *log.Logger
	onViewChanged func() // brings the stored view into force before the next sync acknowledges it

	view            atomic.Pointer[view.View]
	requestFullView bool // the next sync requests the whole view
	leaseHeld       bool // the lease was valid after the last sync
}

// current returns the view in force, of revision 0 before the first sync.
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

// sync performs one sync and reports whether it succeeded with a lease. Otherwise run pauses
// before the next one.
func (s *syncer) sync(ctx context.Context) bool {
	defer s.recordLeaseChange()
	v := s.current()
	heard, gone := s.registry.pending()
	results := s.orders.takeResults()
	req := control.GateSyncRequest{
		Gate:          s.self,
		InForce:       v.Revision,
		WaitMS:        syncLongPoll.Milliseconds(),
		Contacts:      heard,
		Unreachable:   gone,
		Uses:          s.source.Uses(),
		OrderResults:  results,
		SettledGroups: s.source.Settled(v),
		TargetCounts:  s.counter.Counts(v, s.wantedCounts),
		Clock:         s.timeline.Stamp(),
	}
	if s.requestFullView {
		req.InForce = 0
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	sent := s.clock.Now()
	var reply control.GateSyncReply
	if err := s.caller.CallOnce(ctx, control.MethodGateSync, req, &reply); err != nil {
		s.logger.Debug("sync failed", "err", err)
		s.orders.requeueResults(results)
		return false
	}
	if reply.Leader != "" {
		s.caller.HintLeader(reply.Leader)
	}
	s.timeline.Observe(reply.Clock)
	s.registry.confirm(heard, gone, sent)
	s.registry.removeSilentSince(sent.Add(-silentHostRetention))
	if reply.ResendAnnouncements {
		s.registry.markAllChanged()
	}
	return s.apply(reply, sent)
}

// apply applies a reply: the view first, then the lease, so that the lease never covers an
// older view. It returns false if the reply extended no lease.
func (s *syncer) apply(reply control.GateSyncReply, sent clock.Moment) bool {
	if reply.Delta != nil && !s.installDelta(reply.Delta) {
		return false
	}
	if reply.LeaseMillis > 0 {
		s.lease.Extend(sent, time.Duration(reply.LeaseMillis)*time.Millisecond)
	}
	s.wantedCounts = reply.CountTargets
	deadline := sent.Add(time.Duration(reply.OrderTTLMS) * time.Millisecond)
	for _, o := range reply.Orders {
		s.orders.enqueue(timedOrder{order: o, deadline: deadline})
	}
	return reply.LeaseMillis > 0
}

// installDelta applies a view delta. If that fails, the next sync requests the whole view.
func (s *syncer) installDelta(d *view.Delta) bool {
	next, err := s.current().Install(d)
	if err != nil {
		s.logger.Warn("can't apply view delta; requesting the whole view", "err", err)
		s.requestFullView = true
		return false
	}
	s.requestFullView = false
	s.view.Store(next)
	s.onViewChanged()
	s.events.ViewInstalled(next.Revision)
	return true
}

// recordLeaseChange logs and records when the lease is lost or regained.
func (s *syncer) recordLeaseChange() {
	valid := s.lease.Valid()
	if valid == s.leaseHeld {
		return
	}
	s.leaseHeld = valid
	s.events.LeaseChanged(valid, s.current().Revision)
	s.logger.Info("lease changed", "valid", valid, "revision", s.current().Revision)
}

// releaseLease releases the lease and informs the leader.
func (s *syncer) releaseLease(ctx context.Context) {
	s.lease.Release()
	req := control.GateSyncRequest{Gate: s.self, InForce: s.current().Revision, Leaving: true, Clock: s.timeline.Stamp()}
	var reply control.GateSyncReply
	if err := s.caller.Call(ctx, control.MethodGateSync, req, &reply); err != nil {
		s.logger.Warn("failed to inform the leader of the released lease; it will expire", "err", err)
	}
}
