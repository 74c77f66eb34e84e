package suspect

import (
	"maps"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// Machine holds the fingerprints under suspicion. It is pure: equal histories
// give equal changes and states.
type Machine struct {
	options Options
	crashes map[crashID]*crash
	entries map[view.Fingerprint]*entry
	order   uint64
	trial   view.GateName // that runs the trials; "" while there is none
}

// NewMachine returns a machine without suspects.
func NewMachine(o Options) *Machine {
	return &Machine{
		options: o.withDefaults(),
		crashes: make(map[crashID]*crash),
		entries: make(map[view.Fingerprint]*entry),
	}
}

// Step carries out one event and returns the changes to publish, sorted by
// fingerprint. Events other than those of this package change nothing.
func (m *Machine) Step(now view.Time, _ view.Revision, ev Event) []Change {
	before := m.quarantines()
	switch e := ev.(type) {
	case CrashReported:
		m.crashReported(now, e)
	case SuspectCleared:
		m.ranWell(e)
	case Released:
		m.release(e.Fingerprint)
	case GateGone:
		m.gateGone(e)
	case Ticked:
		m.expire(now)
	}
	m.judge()
	return difference(before, m.quarantines())
}

// Quarantines returns all that are in force, sorted by fingerprint.
func (m *Machine) Quarantines() []view.Quarantine {
	all := m.quarantines()
	list := make([]view.Quarantine, 0, len(all))
	for _, f := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[f])
	}
	return list
}

func (m *Machine) quarantines() map[view.Fingerprint]view.Quarantine {
	all := make(map[view.Fingerprint]view.Quarantine, len(m.entries))
	for f, e := range m.entries {
		all[f] = e.quarantine(&m.options)
	}
	return all
}

// difference lists the changes between two states of the quarantines.
func difference(before, now map[view.Fingerprint]view.Quarantine) []Change {
	var changes []Change
	for _, f := range slices.Sorted(maps.Keys(now)) {
		if q, ok := before[f]; !ok || q != now[f] {
			changes = append(changes, PutQuarantine{Quarantine: now[f]})
		}
	}
	for _, f := range slices.Sorted(maps.Keys(before)) {
		if _, ok := now[f]; !ok {
			changes = append(changes, DeleteQuarantine{Fingerprint: f})
		}
	}
	return changes
}

func (m *Machine) crashReported(now view.Time, e CrashReported) {
	if len(e.Running) == 0 {
		return
	}
	c := m.crash(now, crashID{e.Upstream, e.Incarnation})
	for _, r := range e.Running {
		c.Ran[r.Fingerprint] = c.Ran[r.Fingerprint] || r.Trial
		m.suspect(c, r, e.Gate)
	}
}

// crash returns the crash of an incarnation, new if this is its first report.
func (m *Machine) crash(now view.Time, id crashID) *crash {
	if c, ok := m.crashes[id]; ok {
		return c
	}
	m.order++
	c := &crash{
		ID:    id,
		Order: m.order,
		At:    now,
		Ran:   make(map[view.Fingerprint]bool),
	}
	if len(m.crashes) >= m.options.MaxCrashes {
		m.forgetOldest()
	}
	m.crashes[id] = c
	return c
}

// forgetOldest drops the crash that was reported first.
func (m *Machine) forgetOldest() {
	var oldest *crash
	for _, c := range m.crashes {
		if oldest == nil || c.Order < oldest.Order {
			oldest = c
		}
	}
	delete(m.crashes, oldest.ID)
}

// mass tells whether a crash is part of a failure of the platform, as seen
// from a fingerprint: enough others crashed about then without running it.
func (m *Machine) mass(c *crash, f view.Fingerprint) bool {
	window := view.Time(m.options.PlatformFailureWindow)
	others := 0
	for _, other := range m.crashes {
		if _, ran := other.Ran[f]; ran || other == c {
			continue
		}
		if other.At > c.At-window && other.At < c.At+window {
			others++
		}
	}
	return others >= m.options.PlatformFailureCrashes-1
}

// ranBefore tells whether a fingerprint also ran in an earlier crash.
func (m *Machine) ranBefore(c *crash, f view.Fingerprint) bool {
	for _, other := range m.crashes {
		if _, ran := other.Ran[f]; ran && other.Order < c.Order {
			return true
		}
	}
	return false
}

// suspect counts a crash against a fingerprint.
func (m *Machine) suspect(c *crash, r Running, gate view.GateName) {
	e, ok := m.entries[r.Fingerprint]
	if !ok {
		if len(m.entries) >= m.options.MaxSuspects || m.mass(c, r.Fingerprint) && !m.ranBefore(c, r.Fingerprint) {
			return
		}
		e = &entry{Fingerprint: r.Fingerprint, Organisation: r.Organisation}
		m.entries[r.Fingerprint] = e
	}
	if slices.Contains(e.Crashes, c.ID) {
		return
	}
	e.Crashes = append(e.Crashes, c.ID)
	e.LastCrash = c.At
	if m.trial == "" {
		m.trial = gate
	}
	e.Trial = m.trial
}

// ranWell acquits a suspect. A convicted fingerprint stays until its time.
func (m *Machine) ranWell(e SuspectCleared) {
	if s, ok := m.entries[e.Fingerprint]; ok && !s.Convicted {
		m.release(e.Fingerprint)
	}
}

// release frees a fingerprint and takes it out of the crashes that it ran in,
// so that they can't count against it later.
func (m *Machine) release(f view.Fingerprint) {
	if _, ok := m.entries[f]; !ok {
		return
	}
	delete(m.entries, f)
	for _, c := range m.crashes {
		delete(c.Ran, f)
	}
	m.keepTrialGate()
}

// keepTrialGate gives up the trial gate when there is nothing left to try.
func (m *Machine) keepTrialGate() {
	for _, e := range m.entries {
		if !e.Convicted {
			return
		}
	}
	m.trial = ""
}

func (m *Machine) gateGone(e GateGone) {
	if m.trial != e.Gate {
		return
	}
	m.trial = e.Successor
	for _, s := range m.entries {
		s.Trial = e.Successor
	}
	m.keepTrialGate()
}

func (m *Machine) expire(now view.Time) {
	for _, f := range slices.Sorted(maps.Keys(m.entries)) {
		if m.entries[f].until(&m.options) <= now {
			m.release(f)
		}
	}
	for id, c := range m.crashes {
		if c.At+view.Time(m.options.CrashTTL) <= now && !m.held(c) {
			delete(m.crashes, id)
		}
	}
}

// held tells whether a fingerprint still under suspicion ran in a crash.
func (m *Machine) held(c *crash) bool {
	for f := range c.Ran {
		if _, ok := m.entries[f]; ok {
			return true
		}
	}
	return false
}
