package loadorder

import (
	"slices"
	"testing"
)

func TestBefore(t *testing.T) {
	want := []Load{
		{Epoch: 9, Down: true, UnderMinimum: true, Remaining: 4},
		{Epoch: 8, Down: true, Priority: 2, Remaining: 4},
		{Epoch: 7, Down: true, Priority: 1, Remaining: 1},
		{Epoch: 5, Down: true, Priority: 1, Remaining: 4},
		{Epoch: 6, Down: true, Priority: 1, Remaining: 4},
		{Epoch: 1, UnderMinimum: true, Priority: 9, Remaining: 1},
	}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortFunc(got, func(a, b Load) int {
		if Before(a, b) {
			return -1
		}
		return 1
	})
	if !slices.Equal(got, want) {
		t.Errorf("order %+v", got)
	}
}
