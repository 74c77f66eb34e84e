package suspect

import "github.com/sesamemux/sesamemux/pkg/view"

// updateConvictions determines all convicted fingerprints anew, so that the order in which the
// gates' reports arrive doesn't matter.
func (m *Machine) updateConvictions() {
	implicated := m.crashedOnTrial()
	for f, e := range m.entries {
		e.Convicted = implicated[f] && !m.explainedByOthers(e, implicated)
	}
}

// minTrialsInPlatformFailure is how many crashed trials convict a fingerprint even if each crash
// looked like part of a platform failure.
const minTrialsInPlatformFailure = 2

// crashedOnTrial returns the fingerprints that crashed an upstream in their own trial after an
// earlier crash.
func (m *Machine) crashedOnTrial() map[view.Fingerprint]bool {
	implicated := make(map[view.Fingerprint]bool)
	if m.options.Unsafe.AnyCrashConvicts {
		for f, e := range m.entries {
			implicated[f] = len(e.Crashes) > 1
		}
	}
	trials := make(map[view.Fingerprint]int)
	for id, c := range m.crashes {
		f, ok := c.soleTrial()
		if !ok {
			continue
		}
		if e, held := m.entries[f]; !held || !m.crashedBefore(e, id) {
			continue
		}
		trials[f]++
		if trials[f] >= minTrialsInPlatformFailure || !m.inPlatformFailure(c, f) {
			implicated[f] = true
		}
	}
	return implicated
}

// crashedBefore reports whether a fingerprint crashed another upstream before the given crash.
func (m *Machine) crashedBefore(e *suspectEntry, id crashID) bool {
	for _, other := range e.Crashes {
		c, ok := m.crashes[other]
		if ok && other != id && c.Order < m.crashes[id].Order {
			return true
		}
	}
	return false
}

// explainedByOthers reports whether each crash of a fingerprint is explained by another implicated
// fingerprint, which also crashed an upstream without it.
func (m *Machine) explainedByOthers(e *suspectEntry, implicated map[view.Fingerprint]bool) bool {
	for _, id := range e.Crashes {
		if !m.explainedCrash(e, id, implicated) {
			return false
		}
	}
	return true
}

func (m *Machine) explainedCrash(e *suspectEntry, id crashID, implicated map[view.Fingerprint]bool) bool {
	c, ok := m.crashes[id]
	if !ok {
		return false
	}
	for other := range c.Ran {
		if other != e.Fingerprint && implicated[other] && m.crashedWithout(m.entries[other], e.Fingerprint) {
			return true
		}
	}
	return false
}

// crashedWithout reports whether a fingerprint crashed an upstream, on trial, on which the other
// fingerprint did not run.
func (m *Machine) crashedWithout(e *suspectEntry, other view.Fingerprint) bool {
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
