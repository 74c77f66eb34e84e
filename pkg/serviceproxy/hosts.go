package serviceproxy

import (
	"cmp"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// place is a host with a permit for one call.
type place struct {
	host    view.Host
	release func()
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
		release, ok := p.config.Permits.TryAcquire(target(h.Name))
		if !ok {
			continue
		}
		p.load.add(h.Name, 1)
		return place{host: h, release: func() {
			p.load.add(h.Name, -1)
			release()
		}}, true, true
	}
	return place{}, false, any
}

func target(h view.HostName) view.TargetID { return view.TargetID("host/" + string(h)) }
