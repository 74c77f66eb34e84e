package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

func TestNamesAreSpreadEvenlyAndStay(t *testing.T) {
	candidates := []string{"10.1.0.1:7260", "10.1.0.2:7260", "10.2.0.1:7260", "10.2.0.2:7260", "10.3.0.1:7260"}
	before := map[string]string{}
	count := map[string]int{}
	for i := range 75 {
		name := fmt.Sprintf("frontend-%d", i)
		before[name] = Choose(name, candidates)
		count[before[name]]++
	}
	for _, c := range candidates {
		if count[c] < 7 || count[c] > 24 {
			t.Errorf("%s got %d of 75 names", c, count[c])
		}
	}
	removed := candidates[2]
	fewer := slices.Delete(slices.Clone(candidates), 2, 3)
	for name, c := range before {
		if now := Choose(name, fewer); c != removed && now != c {
			t.Errorf("%s moved from %s to %s although both stayed", name, c, now)
		}
	}
	if c := Choose("frontend-1", nil); c != "" {
		t.Errorf("chose %q of no candidates", c)
	}
}
