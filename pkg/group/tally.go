package group

import "github.com/sesamemux/sesamemux/pkg/view"

// tally counts groups of a model.
type tally struct {
	groups   int // not dissolving
	taking   int // taking new work
	expected int // taking work now or soon
	outdated int // of another version, adapters or size than wanted
	retarget int // on their way to the wanted version
	down     [causes]int
}

func (t *tally) add(o tally, sign int) {
	t.groups += sign * o.groups
	t.taking += sign * o.taking
	t.expected += sign * o.expected
	t.outdated += sign * o.outdated
	t.retarget += sign * o.retarget
	for c := range t.down {
		t.down[c] += sign * o.down[c]
	}
}

// tallyOf gives a group's part in its model's tally.
func tallyOf(g *group, m *model) tally {
	var t tally
	if g.State == view.StateDissolving {
		return t
	}
	t.groups = 1
	if g.takesWork() {
		t.taking = 1
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
		t.retarget = 1
	}
	return t
}

// expected tells whether a group that takes no work will soon.
func (g *group) expected() bool { return !g.Doubtful && !g.Out }
