package gate

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	// pollInterval is the time between two polls of a host.
	pollInterval = 500 * time.Millisecond
	// pollTimeout limits one poll.
	pollTimeout = 400 * time.Millisecond
	// pollConcurrency limits the concurrent polls.
	pollConcurrency = 16
	// maxReportBytes limits the size of a report.
	maxReportBytes = 4 << 20
	// maxReportAge is the age above which a report is ignored.
	maxReportAge = 1500 * time.Millisecond
	// unhealthyAfterMisses is the number of consecutive failed polls after which a member
	// is considered unhealthy.
	unhealthyAfterMisses = 2
)

// polledHost is the state of one host according to its reports.
type polledHost struct {
	report report.Report
	at     clock.Moment
	missed int
}

// ReportListener receives the reports of group heads. CacheSequence returns the sequence
// number of the last cache event that it has received from a host.
type ReportListener interface {
	ReportReceived(r report.Report)
	CacheSequence(host view.HostName, inc view.Incarnation) uint64
}

// reportPoller polls the members of serving groups for reports, so that this gate detects a
// failed member before the keepers do.
type reportPoller struct {
	clock    clock.Clock
	client   *http.Client
	view     func() *view.View
	registry *registry
	listener ReportListener

	mu           sync.RWMutex
	hosts        map[view.HostName]*polledHost
	wantedCounts []view.TargetID // targets whose own counts the keepers requested
}

func newReportPoller(c clock.Clock, client *http.Client, v func() *view.View, r *registry) *reportPoller {
	return &reportPoller{clock: c, client: client, view: v, registry: r, hosts: make(map[view.HostName]*polledHost)}
}

// run polls until ctx ends.
func (p *reportPoller) run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.pollAll(ctx)
		}
	}
}

// pollAll polls every member of every serving group and every host whose count is requested.
func (p *reportPoller) pollAll(ctx context.Context) {
	v := p.view()
	var work errgroup.Group
	work.SetLimit(pollConcurrency)
	present := make(map[view.HostName]struct{})
	for _, e := range v.Groups.Entries {
		g := e.Value
		if g.State != view.StateServing {
			continue
		}
		for _, m := range g.Members {
			present[m.Host] = struct{}{}
			work.Go(func() error {
				p.poll(ctx, m)
				return nil
			})
		}
	}
	for _, h := range p.wantedHosts(v) {
		present[h.Name] = struct{}{}
		work.Go(func() error {
			p.poll(ctx, asMember(h))
			return nil
		})
	}
	_ = work.Wait()
	p.pruneHosts(present)
}

// wantedHosts returns the service hosts whose own counts are requested.
func (p *reportPoller) wantedHosts(v *view.View) []view.Host {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []view.Host
	for _, t := range p.wantedCounts {
		name, ok := t.Host()
		if !ok {
			continue
		}
		if h, ok := v.Hosts.Get(name); ok {
			out = append(out, h)
		}
	}
	return out
}

// noRank is the rank of a host that is not a member of a group.
const noRank = -1

// asMember represents a service host as a member, for polling.
func asMember(h view.Host) view.Member {
	return view.Member{Host: h.Name, Incarnation: h.Incarnation, Address: h.Address, Rank: noRank}
}

// pruneHosts removes hosts that are no longer polled.
func (p *reportPoller) pruneHosts(present map[view.HostName]struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.hosts {
		if _, ok := present[name]; !ok {
			delete(p.hosts, name)
		}
	}
}

// poll fetches and stores the report of one member.
func (p *reportPoller) poll(ctx context.Context, m view.Member) {
	after := p.lastCacheEvent(m)
	r, err := p.fetch(ctx, m.Address, after)
	if err != nil {
		p.recordMiss(m, err)
		return
	}
	p.mu.Lock()
	k, ok := p.hosts[m.Host]
	if !ok {
		k = &polledHost{}
		p.hosts[m.Host] = k
	}
	k.report = r
	k.at = p.clock.Now()
	k.missed = 0
	p.mu.Unlock()
	if m.Rank == 0 && p.listener != nil {
		p.listener.ReportReceived(r)
	}
}

func (p *reportPoller) lastCacheEvent(m view.Member) uint64 {
	if p.listener == nil {
		return 0
	}
	return p.listener.CacheSequence(m.Host, m.Incarnation)
}

// recordMiss counts a failed poll. A host that refuses connections is reported to the leader
// as gone.
func (p *reportPoller) recordMiss(m view.Member, err error) {
	if eris.Is(err, syscall.ECONNREFUSED) {
		p.registry.recordGone(m.Host, m.Incarnation)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	k, ok := p.hosts[m.Host]
	if !ok {
		k = &polledHost{}
		p.hosts[m.Host] = k
	}
	k.missed++
}

func (p *reportPoller) fetch(ctx context.Context, address string, after uint64) (report.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var r report.Report
	url := fmt.Sprintf("http://%s%s?after=%d", address, report.Path, after)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return r, eris.Wrap(err, "build report request")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return r, eris.Wrap(err, "fetch report")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return r, eris.Errorf("fetch report: status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&r)
	return r, eris.Wrap(err, "decode report")
}

// MemberOK reports whether a member's own reports allow work on its group. Before the first
// poll, it returns true, so that the view alone decides.
func (p *reportPoller) MemberOK(m view.Member, g view.Group) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	k, ok := p.hosts[m.Host]
	if !ok {
		return true
	}
	if k.missed >= unhealthyAfterMisses {
		return false
	}
	if k.at == 0 || p.clock.Now().Sub(k.at) > maxReportAge {
		return k.missed == 0
	}
	s := k.report.Status
	return s.Incarnation == m.Incarnation && s.Epoch == g.Epoch && s.Group == g.ID && s.Rank == m.Rank && s.Phase == report.PhaseReady
}

// Counts implements TargetCounter with the latest reports of group heads and service hosts.
func (p *reportPoller) Counts(v *view.View, targets []view.TargetID) []control.TargetCount {
	p.mu.Lock()
	p.wantedCounts = targets
	p.mu.Unlock()
	var out []control.TargetCount
	for _, t := range targets {
		m, ok := targetMember(v, t)
		if !ok {
			continue
		}
		if c, ok := p.count(t, m); ok {
			out = append(out, c)
		}
	}
	return out
}

// targetMember returns the host that receives a target's requests: the head of a group, or
// the service host itself.
func targetMember(v *view.View, t view.TargetID) (view.Member, bool) {
	if name, ok := t.Host(); ok {
		h, known := v.Hosts.Get(name)
		return asMember(h), known
	}
	id, _ := t.Group()
	g, _ := v.Groups.Get(id)
	for _, m := range g.Members {
		if m.Rank == 0 {
			return m, true
		}
	}
	return view.Member{}, false
}

// count returns the last reported count of a host. It returns false without a current report
// of the same incarnation.
func (p *reportPoller) count(t view.TargetID, head view.Member) (control.TargetCount, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	k, ok := p.hosts[head.Host]
	if !ok || k.at == 0 || k.missed > 0 || k.report.Status.Incarnation != head.Incarnation {
		return control.TargetCount{}, false
	}
	return control.TargetCount{
		Target:      t,
		Incarnation: head.Incarnation,
		Running:     k.report.Load.Running + k.report.Load.Waiting,
		AgeMillis:   p.clock.Now().Sub(k.at).Milliseconds(),
	}, true
}
