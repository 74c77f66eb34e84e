package entry

import (
	"testing"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// A later announcement that is older news does not bring an upstream back.
func TestStateOfAnUpstreamNeverGoesBack(t *testing.T) {
	b := newBalancer(Config{Name: "e1"})
	u := headRecord("head1")
	for sequence, step := range []struct{ told, want fleet.State }{
		{fleet.Ready, fleet.Ready}, {fleet.Draining, fleet.Draining}, {fleet.Ready, fleet.Draining},
		{fleet.Gone, fleet.Gone}, {fleet.Draining, fleet.Gone}, {fleet.Ready, fleet.Gone},
	} {
		u.State, u.Sequence = step.told, int64(sequence+1)
		b.takeUpstream(0, u)
		if got := b.targets["head1"].State; got != step.want {
			t.Errorf("told %v: state %v, want %v", step.told, got, step.want)
		}
	}
}
