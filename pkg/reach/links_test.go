package reach

import (
	"testing"

	"pgregory.net/rapid"
)

func TestLinksFollowRounds(t *testing.T) {
	for _, c := range []struct {
		name   string
		rounds []Round
		want   bool
	}{
		{"nothing known", nil, false},
		{"one upstream of one fails", []Round{{0, 1}}, false},
		{"all fail", []Round{{0, 3}}, true},
		{"some fail", []Round{{1, 2}}, false},
		{"some work again", []Round{{0, 3}, {1, 2}}, false},
		{"all work again", []Round{{0, 3}, {2, 0}}, false},
		{"no upstream left to try", []Round{{0, 3}, {0, 0}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var l Links
			for _, r := range c.rounds {
				l.Record(r)
			}
			if l.CutOff() != c.want {
				t.Errorf("cut off: %v, want %v", l.CutOff(), c.want)
			}
		})
	}
}

func TestHostThatReachesAnUpstreamIsNeverDeclaredCutOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Links
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			r := Round{rapid.IntRange(0, 3).Draw(t, "connected"), rapid.IntRange(0, 3).Draw(t, "failed")}
			before := l.CutOff()
			changed := l.Record(r)
			if changed != (before != l.CutOff()) {
				t.Fatal("the change is reported wrongly")
			}
			if !before && l.CutOff() && r.Confirms() {
				t.Fatalf("cut off by %+v", r)
			}
		}
	})
}
