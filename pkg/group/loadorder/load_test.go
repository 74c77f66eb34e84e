package loadorder

import (
	"slices"
	"testing"
)

func TestBefore(t *testing.T) {
	want := []PendingLoad{
		{Epoch: 9, Down: true, BelowMinimum: true, Remaining: 4},
		{Epoch: 8, Down: true, Priority: 2, Remaining: 4},
		{Epoch: 7, Down: true, Priority: 1, Remaining: 1},
		{Epoch: 5, Down: true, Priority: 1, Remaining: 4},
		{Epoch: 6, Down: true, Priority: 1, Remaining: 4},
		{Epoch: 1, BelowMinimum: true, Priority: 9, Remaining: 1},
	}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortFunc(got, func(a, b PendingLoad) int {
		if Before(a, b) {
			return -1
		}
		return 1
	})
	if !slices.Equal(got, want) {
		t.Errorf("order %+v", got)
	}
}
