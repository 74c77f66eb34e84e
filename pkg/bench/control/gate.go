package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	api "github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/edge/announce"
	"github.com/sesamemux/sesamemux/pkg/leader"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	syncWaitMS  = 200 // as real gates ask for
	syncTimeout = 2 * time.Second
)

// gate sends the sync messages of one gate to which some hosts announce themselves.
type gate struct {
	self   view.Gate
	caller *leader.Caller
	hosts  []view.HostName
	bytes  *atomic.Int64
	syncs  atomic.Int64

	mu      sync.Mutex
	view    *view.View
	inForce map[view.Revision]time.Time
}

func newGate(c *cluster, number, hosts int, bytes *atomic.Int64) *gate {
	g := &gate{
		self:    view.Gate{Name: view.GateName(fmt.Sprintf("gate-%03d", number)), Incarnation: 1, FailureDomain: "fd-a"},
		caller:  leader.NewCaller(c.addresses, countingDial(rpc.DialTCP(nil), bytes)),
		bytes:   bytes,
		view:    view.New(),
		inForce: make(map[view.Revision]time.Time),
	}
	for i := range hosts {
		g.hosts = append(g.hosts, view.HostName(fmt.Sprintf("host-%03d-%02d", number, i)))
	}
	return g
}

// run syncs until ctx ends. It reports a contact with each host once per announce.Interval.
func (g *gate) run(ctx context.Context) {
	defer g.caller.Close()
	next, credit := 0, float64(len(g.hosts))
	announced := make(map[view.HostName]bool)
	last := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		credit += float64(len(g.hosts)) * now.Sub(last).Seconds() / announce.Interval.Seconds()
		due := min(len(g.hosts), int(credit))
		credit -= float64(due)
		last = now
		req := api.GateSyncRequest{Gate: g.self, InForce: g.revision(), WaitMS: syncWaitMS}
		for range due {
			name := g.hosts[next%len(g.hosts)]
			next++
			req.Contacts = append(req.Contacts, newHostContact(name, announced[name]))
		}
		var reply api.GateSyncReply
		calling, cancel := context.WithTimeout(ctx, syncTimeout)
		err := g.caller.CallOnce(calling, api.MethodGateSync, req, &reply)
		cancel()
		if err != nil {
			continue
		}
		g.syncs.Add(1)
		if reply.Leader != "" {
			g.caller.HintLeader(reply.Leader)
		}
		for _, h := range req.Contacts {
			announced[h.Host] = !reply.ResendAnnouncements
		}
		g.install(reply.Delta)
	}
}

func newHostContact(name view.HostName, known bool) api.HostContact {
	h := api.HostContact{Host: name, Incarnation: 1_800_000_000_000_000_000, AgeMillis: 100}
	if known {
		return h
	}
	h.Announcement = &announce.Announcement{Host: view.Host{
		Name:          name,
		Incarnation:   h.Incarnation,
		Kind:          view.KindEngine,
		Address:       "10.20.30.40:8000",
		FailureDomain: "fd-a",
		FabricDomain:  "fabric-1",
		ChecksFence:   true,
	}}
	return h
}

func (g *gate) revision() view.Revision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Revision
}

func (g *gate) install(d *view.Delta) {
	if d == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	next, err := g.view.Install(d)
	if err != nil {
		return
	}
	g.view = next
	g.inForce[next.Revision] = time.Now()
}

// timeToForce returns the time from a moment until a revision was in force at this gate, and false if
// it is not in force yet.
func (g *gate) timeToForce(r view.Revision, from time.Time) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var best time.Duration
	found := false
	for revision, at := range g.inForce {
		if revision < r {
			continue
		}
		if d := at.Sub(from); !found || d < best {
			best, found = d, true
		}
	}
	return best, found
}
