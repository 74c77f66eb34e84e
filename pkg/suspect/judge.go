package suspect

import "github.com/sesamemux/sesamemux/pkg/view"

// judge decides anew which fingerprints are convicted, so that the order in
// which gates' reports arrive doesn't matter.
func (m *Machine) judge() {
	accused := m.accused()
	for f, e := range m.entries {
		e.Convicted = accused[f] && !m.explained(e, accused)
	}
}

// massTrials is how many trials convict although each of them looked like part
// of a failure of the platform.
const massTrials = 2

// accused returns the fingerprints that crashed an upstream during a trial of
// their own, after a crash before.
func (m *Machine) accused() map[view.Fingerprint]bool {
	accused := make(map[view.Fingerprint]bool)
	if m.options.Unsafe.AnyCrashConvicts {
		for f, e := range m.entries {
			accused[f] = len(e.Crashes) > 1
		}
	}
	trials := make(map[view.Fingerprint]int)
	for id, c := range m.crashes {
		f, ok := c.onlyTrial()
		if !ok {
			continue
		}
		if e, held := m.entries[f]; !held || !m.earlier(e, id) {
			continue
		}
		trials[f]++
		if trials[f] >= massTrials || !m.mass(c, f) {
			accused[f] = true
		}
	}
	return accused
}

// earlier tells whether a fingerprint crashed another upstream before.
func (m *Machine) earlier(e *entry, id crashID) bool {
	for _, other := range e.Crashes {
		c, ok := m.crashes[other]
		if ok && other != id && c.Order < m.crashes[id].Order {
			return true
		}
	}
	return false
}

// explained tells whether each crash of a fingerprint is laid to another
// accused one that also crashed an upstream without it.
func (m *Machine) explained(e *entry, accused map[view.Fingerprint]bool) bool {
	for _, id := range e.Crashes {
		if !m.explainedCrash(e, id, accused) {
			return false
		}
	}
	return true
}

func (m *Machine) explainedCrash(e *entry, id crashID, accused map[view.Fingerprint]bool) bool {
	c, ok := m.crashes[id]
	if !ok {
		return false
	}
	for other := range c.Ran {
		if other != e.Fingerprint && accused[other] && m.crashedWithout(m.entries[other], e.Fingerprint) {
			return true
		}
	}
	return false
}

// crashedWithout tells whether a fingerprint crashed an upstream, on trial,
// where another one did not run.
func (m *Machine) crashedWithout(e *entry, other view.Fingerprint) bool {
	for _, id := range e.Crashes {
		c, ok := m.crashes[id]
		if !ok || !c.Ran[e.Fingerprint] {
			continue
		}
		if _, there := c.Ran[other]; !there {
			return true
		}
	}
	return false
}
