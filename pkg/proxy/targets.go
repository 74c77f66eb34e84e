package proxy

import (
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/prefix"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// targets holds the state of targets that is not part of the view.
type targets struct {
	mu               sync.Mutex
	prefixHints      *prefix.Index
	loads            map[view.HostName]*hostLoad
	trials           map[view.TargetID]int // number of suspect requests on trial there
	crashed          map[view.HostName]view.Incarnation
	unreachableUntil map[view.HostName]time.Time // hosts that could not be reached, and until when to skip them
}

// hostLoad is the last reported load of a host and the requests sent there since.
type hostLoad struct {
	incarnation view.Incarnation
	load        report.Load
	sentSince   int
}

func newTargets(blocks int) *targets {
	return &targets{
		prefixHints:      prefix.NewIndex(blocks),
		loads:            make(map[view.HostName]*hostLoad),
		trials:           make(map[view.TargetID]int),
		crashed:          make(map[view.HostName]view.Incarnation),
		unreachableUntil: make(map[view.HostName]time.Time),
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

// recordReport stores a host's report. It returns true if the host appears to have
// restarted under its old incarnation: its count of finished requests has decreased.
func (t *targets) recordReport(r report.Report) (fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	inc := r.Status.Incarnation
	h := t.host(r.Host, inc)
	fresh = r.Load.FinishedTotal < h.load.FinishedTotal
	h.load, h.sentSince = r.Load, 0
	if fresh {
		t.prefixHints.Forget(r.Host)
	}
	t.prefixHints.Observe(r.Host, inc, r.Events)
	return fresh
}

// recordSent records a request sent to a host.
func (t *targets) recordSent(m view.Member, blocks []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.host(m.Host, m.Incarnation).sentSince++
	t.prefixHints.RecordSent(m.Host, m.Incarnation, blocks)
}

// recordCrash records a crash and reports whether it was not known yet.
func (t *targets) recordCrash(m view.Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.crashed[m.Host] == m.Incarnation {
		return false
	}
	t.crashed[m.Host] = m.Incarnation
	t.prefixHints.Forget(m.Host)
	delete(t.loads, m.Host)
	return true
}

// hasCrashed reports whether an incarnation is known to be gone. The caller holds the
// lock.
func (t *targets) hasCrashed(m view.Member) bool {
	inc, ok := t.crashed[m.Host]
	return ok && inc == m.Incarnation
}

// markUnreachable excludes a host for the exclusion period.
func (t *targets) markUnreachable(m view.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreachableUntil[m.Host] = time.Now().Add(exclusionPeriod)
}

func (t *targets) isUnreachable(m view.Member) bool {
	return time.Now().Before(t.unreachableUntil[m.Host])
}

// prune removes hosts that left the view.
func (t *targets) prune(x *index) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.loads {
		if _, ok := x.view.Hosts.Get(name); !ok {
			delete(t.loads, name)
			delete(t.crashed, name)
			delete(t.unreachableUntil, name)
			t.prefixHints.Forget(name)
		}
	}
}

// ReportReceived processes a host's report: its load and its cache events. If the host
// appears to have restarted, its targets are suspected.
func (p *Proxy) ReportReceived(r report.Report) {
	if !p.targets.recordReport(r) {
		return
	}
	x := p.index.Load()
	for i := range x.all {
		dst := &x.all[i]
		if dst.head.Host == r.Host && dst.head.Incarnation == r.Status.Incarnation {
			p.log.Warn("upstream appears to have restarted under its old incarnation", "host", r.Host, "group", dst.group.ID)
			p.config.Permits.Suspect(dst.target, dst.head.Incarnation)
		}
	}
}

// CacheSequence returns the sequence number of the last cache event received from a host.
func (p *Proxy) CacheSequence(host view.HostName, inc view.Incarnation) uint64 {
	p.targets.mu.Lock()
	defer p.targets.mu.Unlock()
	return p.targets.prefixHints.Sequence(host, inc)
}

// addTrials changes the number of suspect requests on trial on a target by n.
func (t *targets) addTrials(id view.TargetID, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trials[id] += n
	if t.trials[id] <= 0 {
		delete(t.trials, id)
	}
}
