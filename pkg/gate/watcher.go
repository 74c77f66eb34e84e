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
	// watchInterval is the time between two reports asked of one host.
	watchInterval = 500 * time.Millisecond
	// watchTimeout bounds one report.
	watchTimeout = 400 * time.Millisecond
	// watchWorkers bounds the reports asked for at the same time.
	watchWorkers = 16
	// maxReport bounds a report's size in bytes.
	maxReport = 4 << 20
	// staleReport is the age at which a report says nothing any more.
	staleReport = 1500 * time.Millisecond
	// missedReports is how many reports in a row a host may miss.
	missedReports = 2
)

// watched is what is known of one host from its own reports.
type watched struct {
	report report.Report
	at     clock.Moment
	missed int
}

// ReportListener takes the reports of groups' heads and knows up to which
// cache event it has them.
type ReportListener interface {
	ReportReceived(r report.Report)
	CacheSequence(host view.HostName, inc view.Incarnation) uint64
}

// watcher asks the hosts of serving groups for reports, so that this gate
// sees a missing member before the keepers do.
type watcher struct {
	clock    clock.Clock
	client   *http.Client
	view     func() *view.View
	registry *registry
	listener ReportListener

	mu     sync.RWMutex
	hosts  map[view.HostName]*watched
	wanted []view.TargetID // whose own counts the keepers want
}

func newWatcher(c clock.Clock, client *http.Client, v func() *view.View, r *registry) *watcher {
	return &watcher{clock: c, client: client, view: v, registry: r, hosts: make(map[view.HostName]*watched)}
}

// run asks for reports until ctx ends.
func (w *watcher) run(ctx context.Context) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			w.round(ctx)
		}
	}
}

// round asks every member of every group once.
func (w *watcher) round(ctx context.Context) {
	v := w.view()
	var work errgroup.Group
	work.SetLimit(watchWorkers)
	present := make(map[view.HostName]struct{})
	for _, e := range v.Groups.Entries {
		g := e.Value
		if g.State != view.StateServing {
			continue
		}
		for _, m := range g.Members {
			present[m.Host] = struct{}{}
			work.Go(func() error {
				w.ask(ctx, m)
				return nil
			})
		}
	}
	for _, h := range w.wantedHosts(v) {
		present[h.Name] = struct{}{}
		work.Go(func() error {
			w.ask(ctx, asMember(h))
			return nil
		})
	}
	_ = work.Wait()
	w.forget(present)
}

// wantedHosts returns the service hosts whose own counts are wanted.
func (w *watcher) wantedHosts(v *view.View) []view.Host {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var out []view.Host
	for _, t := range w.wanted {
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

// noRank marks a host that is no member of a group.
const noRank = -1

// asMember makes a service host look like a member to be asked.
func asMember(h view.Host) view.Member {
	return view.Member{Host: h.Name, Incarnation: h.Incarnation, Address: h.Address, Rank: noRank}
}

// forget drops hosts that are in no serving group any more.
func (w *watcher) forget(present map[view.HostName]struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range w.hosts {
		if _, ok := present[name]; !ok {
			delete(w.hosts, name)
		}
	}
}

// ask gets one member's report.
func (w *watcher) ask(ctx context.Context, m view.Member) {
	after := w.lastEvent(m)
	r, err := w.fetch(ctx, m.Address, after)
	if err != nil {
		w.miss(m, err)
		return
	}
	w.mu.Lock()
	k, ok := w.hosts[m.Host]
	if !ok {
		k = &watched{}
		w.hosts[m.Host] = k
	}
	k.report = r
	k.at = w.clock.Now()
	k.missed = 0
	w.mu.Unlock()
	if m.Rank == 0 && w.listener != nil {
		w.listener.ReportReceived(r)
	}
}

func (w *watcher) lastEvent(m view.Member) uint64 {
	if w.listener == nil {
		return 0
	}
	return w.listener.CacheSequence(m.Host, m.Incarnation)
}

// miss counts a report that did not come. A host that refuses connections is
// told to the leader.
func (w *watcher) miss(m view.Member, err error) {
	if eris.Is(err, syscall.ECONNREFUSED) {
		w.registry.refused(m.Host, m.Incarnation)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	k, ok := w.hosts[m.Host]
	if !ok {
		k = &watched{}
		w.hosts[m.Host] = k
	}
	k.missed++
}

func (w *watcher) fetch(ctx context.Context, address string, after uint64) (report.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	var r report.Report
	url := fmt.Sprintf("http://%s%s?after=%d", address, report.Path, after)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return r, eris.Wrap(err, "build report request")
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return r, eris.Wrap(err, "ask for report")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return r, eris.Errorf("report status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(&r)
	return r, eris.Wrap(err, "decode report")
}

// MemberOK tells whether a member's own reports allow work on its group. Until
// its first report the view alone decides.
func (w *watcher) MemberOK(m view.Member, g view.Group) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	k, ok := w.hosts[m.Host]
	if !ok {
		return true
	}
	if k.missed >= missedReports {
		return false
	}
	if k.at == 0 || w.clock.Now().Sub(k.at) > staleReport {
		return k.missed == 0
	}
	s := k.report.Status
	return s.Incarnation == m.Incarnation && s.Epoch == g.Epoch && s.Group == g.ID && s.Rank == m.Rank && s.Phase == report.PhaseReady
}

// Counts implements Counter from the latest reports of groups' heads and of
// service hosts.
func (w *watcher) Counts(v *view.View, targets []view.TargetID) []control.TargetCount {
	w.mu.Lock()
	w.wanted = targets
	w.mu.Unlock()
	var out []control.TargetCount
	for _, t := range targets {
		m, ok := taker(v, t)
		if !ok {
			continue
		}
		if c, ok := w.count(t, m); ok {
			out = append(out, c)
		}
	}
	return out
}

// taker returns the host that takes a target's requests.
func taker(v *view.View, t view.TargetID) (view.Member, bool) {
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

// count returns what a head last reported, if that is of the same incarnation.
func (w *watcher) count(t view.TargetID, head view.Member) (control.TargetCount, bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	k, ok := w.hosts[head.Host]
	if !ok || k.at == 0 || k.missed > 0 || k.report.Status.Incarnation != head.Incarnation {
		return control.TargetCount{}, false
	}
	return control.TargetCount{
		Target:      t,
		Incarnation: head.Incarnation,
		Running:     k.report.Load.Running + k.report.Load.Waiting,
		AgeMillis:   w.clock.Now().Sub(k.at).Milliseconds(),
	}, true
}
