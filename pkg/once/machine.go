package once

import (
	"maps"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Machine holds the once-only records of all services. It is not safe for concurrent use. The time
// passed to its methods must never decrease.
type Machine struct {
	options  Options
	services map[string]*serviceRecords
	now      view.Time
}

// NewMachine returns a machine without services.
func NewMachine(o Options) *Machine {
	return &Machine{
		options:  o.withDefaults(),
		services: make(map[string]*serviceRecords),
	}
}

// Publish puts the limits of a set's services in force. The records of a service that is no longer
// in the set are kept, and no new key of it may run.
func (m *Machine) Publish(set object.Set) {
	for _, s := range m.services {
		s.raiseFloor(m.now)
		s.declared = false
	}
	for _, o := range set.Services {
		s, ok := m.services[o.Name]
		if !ok {
			s = newServiceRecords(o.Name, &m.options)
			m.services[o.Name] = s
		}
		s.publish(m.now, limitsOf(o))
	}
}

// Intend decides whether an attempt may run.
func (m *Machine) Intend(now view.Time, i Intent) Decision {
	m.advance(now)
	if !i.valid() {
		return Decision{Kind: Invalid}
	}
	s, ok := m.services[i.Service]
	if !ok || !s.declared {
		return Decision{Kind: NotDeclared}
	}
	return s.intend(m.now, i)
}

// Conclude records how an attempt ended.
func (m *Machine) Conclude(now view.Time, c Conclusion) Result {
	m.advance(now)
	if !c.Outcome.Valid() || c.Attempt == "" || c.Outcome == outcome.Ran && c.Answer == nil {
		return Result{Kind: Rejected}
	}
	s, ok := m.services[c.Service]
	if !ok {
		return Result{Kind: Missing}
	}
	return s.conclude(m.now, c)
}

// GateGone marks as unknown the records that a gate's incarnation left in progress, because nobody
// else can tell whether they ran. The lease of that incarnation must have expired. It returns how
// many records became unknown.
func (m *Machine) GateGone(now view.Time, gate view.GateName, inc view.Incarnation) int {
	m.advance(now)
	ended := 0
	for _, name := range m.serviceNames() {
		s := m.services[name]
		for _, r := range s.inProgress {
			if r.Gate != gate || r.GateIncarnation != inc {
				continue
			}
			s.setUnknown(r)
			ended++
		}
	}
	return ended
}

// Tick ends every state that is due at the given time.
func (m *Machine) Tick(now view.Time) {
	m.advance(now)
	for _, name := range m.serviceNames() {
		m.services[name].tick(m.now)
	}
}

// Stats returns the counts of each service's records, by name.
func (m *Machine) Stats() []Stats {
	all := make([]Stats, 0, len(m.services))
	for _, name := range m.serviceNames() {
		all = append(all, m.services[name].stats())
	}
	return all
}

func (m *Machine) advance(now view.Time) { m.now = max(m.now, now) }

func (m *Machine) serviceNames() []string { return slices.Sorted(maps.Keys(m.services)) }
