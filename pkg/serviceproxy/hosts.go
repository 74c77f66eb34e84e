package serviceproxy

import (
	"cmp"
	"errors"
	"slices"
	"sync"

	"github.com/sesamemux/sesamemux/pkg/edge/plaincall"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// hostPermit is a host with a permit for one call. Repeated releases have no effect.
type hostPermit struct {
	host    view.Host
	start   func() bool // reports, immediately before the first byte, whether the permit is still valid
	release func(permit.End)
}

// acceptsWork reports whether a host accepts new work for a service.
func acceptsWork(h view.Host, service string) bool {
	return h.Kind == view.KindService && h.Service == service && !h.Drained && !h.Leaving
}

// stillAcceptsWork reports whether a selected host accepts new work in the current view.
func (p *Proxy) stillAcceptsWork(h view.Host) bool {
	now, ok := p.config.View().Hosts.Get(h.Name)
	return ok && now.Incarnation == h.Incarnation && acceptsWork(now, h.Service)
}

// hosts returns the hosts of a service, ordered by this gate's calls in flight, fewest
// first. Hosts with equal counts rotate.
func (p *Proxy) hosts(service string) []view.Host {
	var hosts []view.Host
	for _, e := range p.config.View().Hosts.Entries {
		if acceptsWork(e.Value, service) {
			hosts = append(hosts, e.Value)
		}
	}
	slices.SortFunc(hosts, func(a, b view.Host) int { return cmp.Compare(a.Name, b.Name) })
	if len(hosts) > 0 {
		rotation := int(p.counter.Load() % uint64(len(hosts)))
		hosts = slices.Concat(hosts[rotation:], hosts[:rotation])
	}
	slices.SortStableFunc(hosts, func(a, b view.Host) int {
		return cmp.Compare(p.inFlight.of(a.Name), p.inFlight.of(b.Name))
	})
	return hosts
}

// acquireHost acquires a permit on a host of the service that was not tried yet. Its last
// result reports whether there is an untried host at all, with or without a permit.
func (p *Proxy) acquireHost(service string, tried []view.HostName) (hostPermit, bool, bool) {
	anyHost := false
	for _, h := range p.hosts(service) {
		if slices.Contains(tried, h.Name) {
			continue
		}
		anyHost = true
		acquired, ok := p.config.Permits.TryAcquire(view.HostTarget(h.Name), h.Incarnation)
		if !ok {
			continue
		}
		return p.newHostPermit(h, acquired), true, true
	}
	return hostPermit{}, false, anyHost
}

func (p *Proxy) newHostPermit(h view.Host, acquired *permit.Permit) hostPermit {
	p.inFlight.add(h.Name, 1)
	var once sync.Once
	return hostPermit{host: h, start: acquired.Start, release: func(end permit.End) {
		once.Do(func() { p.inFlight.add(h.Name, -1) })
		acquired.Release(end)
	}}
}

// permitEnd returns how to end the permit of a call that returned err, and suspects the
// host if its connection failed other than by a timeout.
func (p *Proxy) permitEnd(h view.Host, err error) permit.End {
	if err == nil {
		return permit.EndFinished
	}
	var failed *plaincall.CallError
	if !errors.As(err, &failed) || failed.Step == plaincall.StepCheck {
		return permit.EndInconclusive
	}
	if !failed.Timeout {
		p.config.Permits.Suspect(view.HostTarget(h.Name), h.Incarnation)
	}
	return permit.EndFailed
}
