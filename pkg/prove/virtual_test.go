package prove

import (
	"flag"
	"testing"
	"time"
)

func TestVirtualTimePassesAtOnce(t *testing.T) {
	var passed time.Duration
	s := InVirtualTime(func(seed uint64) error {
		start := time.Now()
		time.Sleep(time.Duration(seed) * time.Hour)
		passed = time.Since(start)
		return nil
	})
	if err := s(3); err != nil {
		t.Fatal(err)
	}
	if passed != 3*time.Hour {
		t.Fatalf("%v passed, want 3h", passed)
	}
}

// TestScenarioRunsWhileOtherTestsAreSkipped: the flag that passes over known failures passed over all
// scenarios as well.
func TestScenarioRunsWhileOtherTestsAreSkipped(t *testing.T) {
	before := flag.Lookup("test.skip").Value.String()
	t.Cleanup(func() { _ = flag.Set("test.skip", before) })
	for _, skip := range []string{"TestOne", "TestOne|TestTwo", "TestOne/row|TestTwo"} {
		if err := flag.Set("test.skip", skip); err != nil {
			t.Fatal(err)
		}
		if err := InVirtualTime(func(uint64) error { return nil })(1); err != nil {
			t.Errorf("skipping %s: %v", skip, err)
		}
	}
}
