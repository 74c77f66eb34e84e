package coordinator

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/formation"
)

const (
	siteGroupSize    = 4
	siteAnnounceTime = 1200 * time.Millisecond // between announcements of a host
	siteReportTime   = time.Second             // between reports of an entry host about a silent head
	siteFormTime     = 300 * time.Millisecond  // from an open order until the head serves
)

// condition is the condition of a simulated host.
type condition uint8

const (
	running condition = iota
	silent            // accepts connections, but sends nothing
	ended             // refuses connections
	dark              // no connection attempt succeeds
)

// siteHost is a simulated host of an engineSite.
type siteHost struct {
	record    fleet.Upstream
	condition condition
	resumed   chan struct{} // closed when the condition changes
}

// givenOrder is an order that the leader gave.
type givenOrder struct {
	formation.Order
	at time.Time
}

// engineSite simulates engine hosts of one fabric domain, the client that reaches them, and the
// entry hosts that report silent heads.
type engineSite struct {
	*cluster
	follower *process // receives the announcements
	done     chan struct{}

	mu     sync.Mutex
	hosts  []*siteHost
	orders []givenOrder
	stall  time.Duration // how long the leader stands still during the next probe of a silent host
}

// newEngineSite returns a site whose hosts have formed groups and whose first traffic is past.
func newEngineSite(t *testing.T, hosts int) *engineSite {
	s := &engineSite{done: make(chan struct{})}
	s.cluster = newClusterOf(t, decodeEngineSet, s)
	t.Cleanup(func() { close(s.done) })
	s.put("a", "v1")
	leader := s.leader()
	for _, name := range []string{"a", "b", "c"} {
		if name != leader {
			s.follower = s.running[name]
		}
	}
	for i := range hosts {
		h := &siteHost{resumed: make(chan struct{}), record: fleet.Upstream{
			ID: fmt.Sprintf("h%d", i), Service: "models", Address: fmt.Sprintf("h%d:80", i), Zone: "z", FabricDomain: "d",
			StartedMS: 1, State: fleet.Ready, Slots: 8,
		}}
		s.hosts = append(s.hosts, h)
		time.AfterFunc(time.Duration(i)*siteAnnounceTime/time.Duration(hosts), func() { s.announceLoop(h) })
	}
	time.Sleep(10 * time.Second)
	if n := len(s.heads()); n != hosts/siteGroupSize {
		t.Fatalf("%d groups serve", n)
	}
	s.sync("e1")
	time.Sleep(5 * time.Second)
	return s
}

// decodeEngineSet returns documents with one engine service with one model.
func decodeEngineSet(raw []byte) (*catalog.Set, error) {
	set, err := decodeVersion(raw)
	if err != nil {
		return nil, err
	}
	set.Services = []catalog.Service{{Name: "models", Engine: &catalog.Engine{
		Slots: 8, LoadsPerS: 4, ConcurrentLoads: 6, FormationTime: siteFormTime,
		Models: []catalog.Model{{Name: "m", GroupSize: siteGroupSize, Share: 1, Pace: 1, LoadTime: 10 * time.Second, WarmTime: time.Second}},
	}}}
	return set, nil
}

// sync reports traffic of an entry host to the leader, and that it just received events of heads.
func (s *engineSite) sync(entryHost string, progressing ...*siteHost) {
	req := control.FleetSyncRequest{
		Process: entryHost, EntryHost: true, HasArrivals: true, OfferedLoad: map[string]float64{"m": 8}, SinceLastEventMS: map[string]int64{},
	}
	for _, h := range progressing {
		req.SinceLastEventMS[h.record.ID] = 0
	}
	if _, err := s.running[s.leader()].handleSync(context.Background(), req); err != nil {
		s.t.Fatal(err)
	}
}

func (s *engineSite) announceLoop(h *siteHost) {
	for {
		s.announce(h)
		select {
		case <-s.done:
			return
		case <-time.After(siteAnnounceTime):
		}
	}
}

// announce announces a running host, after its silence if it is silent.
func (s *engineSite) announce(h *siteHost) {
	for {
		s.mu.Lock()
		state, resumed := h.condition, h.resumed
		if state == running {
			h.record.Sequence++
		}
		u := h.record
		s.mu.Unlock()
		if state == running {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, _ = s.follower.Announce(ctx, u)
			return
		}
		select {
		case <-resumed:
		case <-s.done:
			return
		}
	}
}

func (s *engineSite) setCondition(c condition, hosts ...*siteHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range hosts {
		h.condition = c
		close(h.resumed)
		h.resumed = make(chan struct{})
	}
}

// host returns a host by its ID.
func (s *engineSite) host(id string) *siteHost {
	for _, h := range s.hosts {
		if h.record.ID == id {
			return h
		}
	}
	return nil
}

// reached waits until a host processes what was sent to it, or ctx ends.
func (s *engineSite) reached(ctx context.Context, h *siteHost) (formation.ProbeResult, error) {
	for {
		s.mu.Lock()
		state, resumed := h.condition, h.resumed
		s.mu.Unlock()
		switch state {
		case running:
			return formation.Answered, nil
		case ended:
			return formation.Refused, eris.New("connection refused")
		}
		select {
		case <-ctx.Done():
			if state == silent {
				return formation.Silent, ctx.Err()
			}
			return formation.Unreachable, ctx.Err()
		case <-resumed:
		}
	}
}

// Probe implements EngineClient.
func (s *engineSite) Probe(ctx context.Context, u fleet.Upstream) (formation.ProbeResult, error) {
	result, err := s.reached(ctx, s.host(u.ID))
	if result == formation.Silent {
		s.mu.Lock()
		stall := s.stall
		s.stall = 0
		s.mu.Unlock()
		time.Sleep(stall)
	}
	return result, err
}

// Order implements EngineClient. An order to a silent host is carried out when it goes on.
func (s *engineSite) Order(ctx context.Context, o formation.Order, _ uint64) (formation.OrderResult, error) {
	h := s.host(o.Host.ID)
	s.mu.Lock()
	s.orders = append(s.orders, givenOrder{o, time.Now()})
	s.mu.Unlock()
	switch result, err := s.reached(ctx, h); result {
	case formation.Answered:
		return s.carryOut(h, o), nil
	case formation.Silent:
		go func() {
			waiting, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			if result, _ := s.reached(waiting, h); result == formation.Answered {
				s.carryOut(h, o)
			}
		}()
		return formation.Unknown, err
	default:
		return formation.Unknown, err
	}
}

func (s *engineSite) carryOut(h *siteHost, o formation.Order) formation.OrderResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	seat := h.record.Assignment
	mine := seat != nil && seat.Epoch == o.Epoch
	delay := time.Duration(0)
	switch {
	case o.Kind == formation.Join:
		seat = &fleet.Assignment{Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, h.record.ID), State: fleet.AssignmentReady}
		h.record.StagedModels = []string{o.Model}
	case o.Kind == formation.Stage:
		h.record.StagedModels = []string{o.Model}
	case !mine:
		return formation.Rejected
	case o.Kind == formation.Open:
		seat = &fleet.Assignment{Group: o.Group, Epoch: o.Epoch, Rank: seat.Rank, State: fleet.AssignmentOpen}
		delay = siteFormTime
	case o.Kind == formation.Leave:
		seat = nil
	}
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		h.record.Assignment = seat
		s.mu.Unlock()
		s.announce(h)
	})
	return formation.Accepted
}

// heads returns the hosts that lead open groups.
func (s *engineSite) heads() []*siteHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hs []*siteHost
	for _, h := range s.hosts {
		if h.record.IsOpenHead() {
			hs = append(hs, h)
		}
	}
	return hs
}

// members returns the hosts of the group with the given head, the head first.
func (s *engineSite) members(head *siteHost) []*siteHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	hs := make([]*siteHost, siteGroupSize)
	for _, h := range s.hosts {
		if a := h.record.Assignment; a != nil && a.Epoch == head.record.Assignment.Epoch {
			hs[a.Rank] = h
		}
	}
	return hs
}

// assignments returns the groups of all hosts by ID.
func (s *engineSite) assignments() map[string]fleet.Assignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	as := map[string]fleet.Assignment{}
	for _, h := range s.hosts {
		if h.record.Assignment != nil {
			as[h.record.ID] = *h.record.Assignment
		}
	}
	return as
}

// cordoned reports whether the leader tells entry hosts to send a head no new requests.
func (s *engineSite) cordoned(head *siteHost) bool {
	leader := s.running[s.leader()]
	leader.mu.Lock()
	defer leader.mu.Unlock()
	return leader.registry.Get(head.record.ID).Cordoned
}

// firstOrder returns the first order of a kind given since a time, nil if there was none.
func (s *engineSite) firstOrder(kind formation.OrderKind, since time.Time) *givenOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.orders {
		if o.Kind == kind && !o.at.Before(since) {
			return &o
		}
	}
	return nil
}

// awaitOrder waits for the first order of a kind given since a time.
func (s *engineSite) awaitOrder(kind formation.OrderKind, since time.Time) *givenOrder {
	s.t.Helper()
	for range 1000 {
		if o := s.firstOrder(kind, since); o != nil {
			return o
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatalf("no order to %s was given", kind)
	return nil
}

// reportSilence lets three entry hosts report a head as silent, first after the given silence and
// then again, until ctx ends.
func (s *engineSite) reportSilence(ctx context.Context, head *siteHost, after time.Duration) {
	leader := s.running[s.leader()]
	for i := range 3 {
		go func() {
			wait := after + time.Duration(i)*70*time.Millisecond
			for ; ; wait = siteReportTime {
				select {
				case <-ctx.Done():
					return
				case <-time.After(wait):
				}
				req := control.FleetSuspectRequest{Process: fmt.Sprintf("e%d", i), Head: head.record.ID, SilentMS: after.Milliseconds()}
				_, _ = leader.handleSuspect(ctx, req)
			}
		}()
	}
}
