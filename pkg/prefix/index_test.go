package prefix

import (
	"strings"
	"testing"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
)

func TestBlocksShareAPrefix(t *testing.T) {
	head := strings.Repeat("a", 2*BlockBytes)
	x, y := Blocks("v1", head+strings.Repeat("b", BlockBytes)), Blocks("v1", head+strings.Repeat("c", 100))
	if len(x) != 3 || x[0] != y[0] || x[1] != y[1] || x[2] == y[2] {
		t.Errorf("%v and %v", x, y)
	}
	if z := Blocks("v2", head); z[0] == x[0] {
		t.Error("another scope has the same blocks")
	}
}

func TestGapClearsHints(t *testing.T) {
	x := NewIndex(100)
	blocks := []uint64{1, 2, 3}
	stored := func(seq uint64, b ...uint64) []report.CacheEvent {
		return []report.CacheEvent{{Sequence: seq, Stored: b}}
	}
	x.Observe("h", 7, stored(1, 1, 2))
	x.Observe("h", 7, stored(2, 3))
	x.Observe("h", 7, stored(2, 9))
	if got := x.Hits("h", 7, blocks); got != 3 {
		t.Fatalf("%d hits, want 3", got)
	}
	x.Observe("h", 7, []report.CacheEvent{{Sequence: 3, Evicted: []uint64{2}}})
	if got := x.Hits("h", 7, blocks); got != 1 {
		t.Fatalf("%d hits after an eviction, want 1", got)
	}
	x.Observe("h", 7, stored(5, 2))
	if got := x.Hits("h", 7, blocks); got != 0 {
		t.Fatalf("%d hits after a gap, want 0", got)
	}
	x.Observe("h", 8, stored(1, 1))
	if x.Hits("h", 7, blocks) != 0 || x.Hits("h", 8, blocks) != 1 {
		t.Error("hints of another incarnation are used")
	}
}
