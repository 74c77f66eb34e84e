package group

import "github.com/sesamemux/sesamemux/pkg/view"

// drainKey identifies what an operator drained.
type drainKey struct {
	Kind view.DrainKind
	Name string
}

func (m *Machine) drainChanged(e DrainChanged) {
	key := drainKey{e.Kind, e.Name}
	if m.drains[key] == e.Drained {
		return
	}
	affected := m.hostsOf(key)
	for _, h := range affected {
		m.countHost(h, -1)
	}
	if e.Drained {
		m.drains[key] = true
	} else {
		delete(m.drains, key)
	}
	for _, h := range affected {
		m.countHost(h, 1)
		m.markDirtyID(h.Role.Group)
	}
}

// hostsOf returns the engine hosts that a drain affects, in no particular order.
func (m *Machine) hostsOf(key drainKey) []*host {
	if key.Kind == view.DrainUpstream {
		if h := m.hosts[view.HostName(key.Name)]; h != nil {
			return []*host{h}
		}
		return nil
	}
	var of []*host
	for _, h := range m.hosts {
		if h.Info.FailureDomain == key.Name {
			of = append(of, h)
		}
	}
	return of
}
