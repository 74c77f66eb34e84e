package group

import "github.com/sesamemux/sesamemux/pkg/view"

// counts holds numbers of groups of a model.
type counts struct {
	groups     int // not dissolving
	takingWork int // take new work
	expected   int // take work now or are expected to soon
	outdated   int // version, adapters or size differ from the declaration
	updating   int // being brought to the declared version
	down       [causes]int
}

func (t *counts) add(o counts, sign int) {
	t.groups += sign * o.groups
	t.takingWork += sign * o.takingWork
	t.expected += sign * o.expected
	t.outdated += sign * o.outdated
	t.updating += sign * o.updating
	for c := range t.down {
		t.down[c] += sign * o.down[c]
	}
}

// countsOf returns a group's contribution to its model's counts.
func countsOf(g *group, m *model) counts {
	var t counts
	if g.State == view.StateDissolving {
		return t
	}
	t.groups = 1
	if g.takesWork() {
		t.takingWork = 1
	} else {
		t.down[g.Cause] = 1
	}
	if g.takesWork() || g.expected() {
		t.expected = 1
	}
	if m.outdated(g) {
		t.outdated = 1
	}
	if !g.takesWork() && g.Cause == CauseRollout {
		t.updating = 1
	}
	return t
}

// expected reports whether a group that takes no work is expected to take work soon.
func (g *group) expected() bool { return !g.RecoveryBlocked && !g.MemberDrained }
