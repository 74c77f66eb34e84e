package prove

import (
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
