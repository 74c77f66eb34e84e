package repair

import (
	"testing"
	"time"
)

func TestGrace(t *testing.T) {
	const load, bound = time.Minute, 30 * time.Second
	var shortPauses, neverBack ReturnHistory
	for range 200 {
		shortPauses.RecordReturn(1500 * time.Millisecond)
		neverBack.RecordLoss()
	}
	if g := neverBack.GracePeriod(load, bound); g != 0 {
		t.Errorf("waits %v for hosts that never come back", g)
	}
	if g := shortPauses.GracePeriod(load, bound); g < 2*time.Second || g > bound {
		t.Errorf("waits %v for hosts that are back within 2 s", g)
	}
	if g := shortPauses.GracePeriod(load, time.Second); g > time.Second {
		t.Errorf("waits %v, the bound is 1 s", g)
	}
}

func TestOldReturnsWeighLess(t *testing.T) {
	var r ReturnHistory
	for range 10 * historyBound {
		r.RecordReturn(time.Second)
	}
	if r.Counts >= historyBound {
		t.Errorf("%d counts", r.Counts)
	}
}
