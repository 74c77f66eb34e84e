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

// place is a host with a permit for one call. Further releases do nothing.
type place struct {
	host    view.Host
	start   func() bool // whether the permit still holds, right before the first byte
	release func(permit.End)
}

// eligible tells whether a host takes new work of a service.
func eligible(h view.Host, service string) bool {
	return h.Kind == view.KindService && h.Service == service && !h.Drained && !h.Leaving
}

// stillThere tells whether a chosen host takes new work in the view in force
// now.
func (p *Proxy) stillThere(h view.Host) bool {
	now, ok := p.config.View().Hosts.Get(h.Name)
	return ok && now.Incarnation == h.Incarnation && eligible(now, h.Service)
}

// hosts returns the hosts of a service, the least busy by this gate's calls
// first, and equal ones in turn.
func (p *Proxy) hosts(service string) []view.Host {
	var hosts []view.Host
	for _, e := range p.config.View().Hosts.Entries {
		if eligible(e.Value, service) {
			hosts = append(hosts, e.Value)
		}
	}
	slices.SortFunc(hosts, func(a, b view.Host) int { return cmp.Compare(a.Name, b.Name) })
	if len(hosts) > 0 {
		turn := int(p.next.Load() % uint64(len(hosts)))
		hosts = slices.Concat(hosts[turn:], hosts[:turn])
	}
	slices.SortStableFunc(hosts, func(a, b view.Host) int {
		return cmp.Compare(p.load.of(a.Name), p.load.of(b.Name))
	})
	return hosts
}

// choose takes a permit on a host of a service that was not tried yet. With
// no place it tells whether there is any host left.
func (p *Proxy) choose(service string, tried []view.HostName) (place, bool, bool) {
	any := false
	for _, h := range p.hosts(service) {
		if slices.Contains(tried, h.Name) {
			continue
		}
		any = true
		taken, ok := p.config.Permits.TryAcquire(view.HostTarget(h.Name), h.Incarnation)
		if !ok {
			continue
		}
		return p.place(h, taken), true, true
	}
	return place{}, false, any
}

func (p *Proxy) place(h view.Host, taken *permit.Permit) place {
	p.load.add(h.Name, 1)
	var once sync.Once
	return place{host: h, start: taken.Start, release: func(end permit.End) {
		once.Do(func() { p.load.add(h.Name, -1) })
		taken.Release(end)
	}}
}

// permitEnd tells what a call says of its host, and marks the host if its
// connection broke.
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
