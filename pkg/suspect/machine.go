package suspect

import (
	"maps"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// Machine holds the fingerprints under suspicion. It is deterministic: equal histories give equal
// changes and states.
type Machine struct {
	options   Options
	crashes   map[crashID]*crash
	entries   map[view.Fingerprint]*suspectEntry
	lastOrder uint64
	trialGate view.GateName // gate that runs the trials; "" while there is none
}

// NewMachine returns a machine without suspects.
func NewMachine(o Options) *Machine {
	return &Machine{
		options: o.withDefaults(),
		crashes: make(map[crashID]*crash),
		entries: make(map[view.Fingerprint]*suspectEntry),
	}
}

// Step applies one event and returns the changes to publish, sorted by fingerprint. It ignores
// events of other packages.
func (m *Machine) Step(now view.Time, _ view.Revision, ev Event) []Change {
	before := m.quarantines()
	switch e := ev.(type) {
	case CrashReported:
		m.crashReported(now, e)
	case SuspectCleared:
		m.clearSuspect(e)
	case Released:
		m.release(e.Fingerprint)
	case GateGone:
		m.gateGone(e)
	case Ticked:
		m.expire(now)
	}
	m.updateConvictions()
	return diffQuarantines(before, m.quarantines())
}

// Quarantines returns all quarantines in force, sorted by fingerprint.
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

// diffQuarantines returns the changes between two states of the quarantines.
func diffQuarantines(before, now map[view.Fingerprint]view.Quarantine) []Change {
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
	c := m.crashFor(now, crashID{e.Upstream, e.Incarnation})
	for _, r := range e.Running {
		c.Ran[r.Fingerprint] = c.Ran[r.Fingerprint] || r.Trial
		m.addSuspicion(c, r, e.Gate)
	}
}

// crashFor returns the crash of an incarnation. The first report creates it.
func (m *Machine) crashFor(now view.Time, id crashID) *crash {
	if c, ok := m.crashes[id]; ok {
		return c
	}
	m.lastOrder++
	c := &crash{
		ID:    id,
		Order: m.lastOrder,
		At:    now,
		Ran:   make(map[view.Fingerprint]bool),
	}
	if len(m.crashes) >= m.options.MaxCrashes {
		m.dropOldestCrash()
	}
	m.crashes[id] = c
	return c
}

// dropOldestCrash drops the crash that was reported first.
func (m *Machine) dropOldestCrash() {
	var oldest *crash
	for _, c := range m.crashes {
		if oldest == nil || c.Order < oldest.Order {
			oldest = c
		}
	}
	delete(m.crashes, oldest.ID)
}

// inPlatformFailure reports whether a crash is part of a platform failure from the point of view
// of a fingerprint: enough other upstreams crashed at about the same time without running it.
func (m *Machine) inPlatformFailure(c *crash, f view.Fingerprint) bool {
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

// ranBefore reports whether a fingerprint also ran in an earlier crash.
func (m *Machine) ranBefore(c *crash, f view.Fingerprint) bool {
	for _, other := range m.crashes {
		if _, ran := other.Ran[f]; ran && other.Order < c.Order {
			return true
		}
	}
	return false
}

// addSuspicion counts a crash against a fingerprint.
func (m *Machine) addSuspicion(c *crash, r Running, gate view.GateName) {
	e, ok := m.entries[r.Fingerprint]
	if !ok {
		if len(m.entries) >= m.options.MaxSuspects || m.inPlatformFailure(c, r.Fingerprint) && !m.ranBefore(c, r.Fingerprint) {
			return
		}
		e = &suspectEntry{Fingerprint: r.Fingerprint, Organisation: r.Organisation}
		m.entries[r.Fingerprint] = e
	}
	if slices.Contains(e.Crashes, c.ID) {
		return
	}
	e.Crashes = append(e.Crashes, c.ID)
	e.LastCrash = c.At
	if m.trialGate == "" {
		m.trialGate = gate
	}
	e.Trial = m.trialGate
}

// clearSuspect releases a suspect. A convicted fingerprint stays until it expires.
func (m *Machine) clearSuspect(e SuspectCleared) {
	if s, ok := m.entries[e.Fingerprint]; ok && !s.Convicted {
		m.release(e.Fingerprint)
	}
}

// release removes a fingerprint, also from the crashes that it ran in, so that they can't count
// against it later.
func (m *Machine) release(f view.Fingerprint) {
	if _, ok := m.entries[f]; !ok {
		return
	}
	delete(m.entries, f)
	for _, c := range m.crashes {
		delete(c.Ran, f)
	}
	m.clearIdleTrialGate()
}

// clearIdleTrialGate resets the trial gate when no suspect is left to try.
func (m *Machine) clearIdleTrialGate() {
	for _, e := range m.entries {
		if !e.Convicted {
			return
		}
	}
	m.trialGate = ""
}

func (m *Machine) gateGone(e GateGone) {
	if m.trialGate != e.Gate {
		return
	}
	m.trialGate = e.Successor
	for _, s := range m.entries {
		s.Trial = e.Successor
	}
	m.clearIdleTrialGate()
}

func (m *Machine) expire(now view.Time) {
	for _, f := range slices.Sorted(maps.Keys(m.entries)) {
		if m.entries[f].expiresAt(&m.options) <= now {
			m.release(f)
		}
	}
	for id, c := range m.crashes {
		if c.At+view.Time(m.options.CrashTTL) <= now && !m.ranSuspect(c) {
			delete(m.crashes, id)
		}
	}
}

// ranSuspect reports whether a fingerprint that is still under suspicion ran in a crash.
func (m *Machine) ranSuspect(c *crash) bool {
	for f := range c.Ran {
		if _, ok := m.entries[f]; ok {
			return true
		}
	}
	return false
}
