package proxy

import (
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/prefix"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// targets is what the gate knows of its targets besides the view.
type targets struct {
	mu      sync.Mutex
	hints   *prefix.Index
	loads   map[view.HostName]*hostLoad
	trials  map[view.TargetID]int // isolated requests that run there
	crashed map[view.HostName]view.Incarnation
	avoids  map[view.HostName]time.Time // hosts that could not be reached, and until when they are left out
}

// hostLoad is a host's last report and what was sent there since.
type hostLoad struct {
	incarnation view.Incarnation
	load        report.Load
	sent        int
}

func newTargets(blocks int) *targets {
	return &targets{
		hints:   prefix.NewIndex(blocks),
		loads:   make(map[view.HostName]*hostLoad),
		trials:  make(map[view.TargetID]int),
		crashed: make(map[view.HostName]view.Incarnation),
		avoids:  make(map[view.HostName]time.Time),
	}
}

func (t *targets) host(name view.HostName, inc view.Incarnation) *hostLoad {
	h := t.loads[name]
	if h == nil || h.incarnation != inc {
		h = &hostLoad{incarnation: inc}
		t.loads[name] = h
	}
	return h
}

// reported takes in a host's report. It tells whether the host behaves as if
// freshly started under its old incarnation: its count of finished requests
// went back.
func (t *targets) reported(r report.Report) (fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	inc := r.Status.Incarnation
	h := t.host(r.Host, inc)
	fresh = r.Load.FinishedAll < h.load.FinishedAll
	h.load, h.sent = r.Load, 0
	if fresh {
		t.hints.Forget(r.Host)
	}
	t.hints.Observe(r.Host, inc, r.Events)
	return fresh
}

// sent notes a request that goes to a host.
func (t *targets) sent(m view.Member, blocks []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.host(m.Host, m.Incarnation).sent++
	t.hints.Sent(m.Host, m.Incarnation, blocks)
}

// crash notes a crash and tells whether it is news.
func (t *targets) crash(m view.Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.crashed[m.Host] == m.Incarnation {
		return false
	}
	t.crashed[m.Host] = m.Incarnation
	t.hints.Forget(m.Host)
	delete(t.loads, m.Host)
	return true
}

// dead tells whether an incarnation is known to be gone.
func (t *targets) dead(m view.Member) bool {
	inc, ok := t.crashed[m.Host]
	return ok && inc == m.Incarnation
}

// avoid leaves a host out for a while.
func (t *targets) avoid(m view.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.avoids[m.Host] = time.Now().Add(leaveOut)
}

func (t *targets) avoided(m view.Member) bool { return time.Now().Before(t.avoids[m.Host]) }

// keep forgets hosts that left the view.
func (t *targets) keep(x *index) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.loads {
		if _, ok := x.view.Hosts.Get(name); !ok {
			delete(t.loads, name)
			delete(t.crashed, name)
			delete(t.avoids, name)
			t.hints.Forget(name)
		}
	}
}

// ReportReceived takes in a host's report: its load and its cache events.
func (p *Proxy) ReportReceived(r report.Report) {
	if !p.targets.reported(r) {
		return
	}
	x := p.index.Load()
	for i := range x.all {
		at := &x.all[i]
		if at.head.Host == r.Host && at.head.Incarnation == r.Status.Incarnation {
			p.log.Warn("upstream behaves as if freshly started", "host", r.Host, "group", at.group.ID)
			p.config.Permits.Suspect(at.target, at.head.Incarnation)
		}
	}
}

// CacheSequence returns the last cache event seen of a host, to ask for later
// ones.
func (p *Proxy) CacheSequence(host view.HostName, inc view.Incarnation) uint64 {
	p.targets.mu.Lock()
	defer p.targets.mu.Unlock()
	return p.targets.hints.Sequence(host, inc)
}

// trial counts the isolated requests on a target.
func (t *targets) trial(id view.TargetID, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trials[id] += n
	if t.trials[id] <= 0 {
		delete(t.trials, id)
	}
}
