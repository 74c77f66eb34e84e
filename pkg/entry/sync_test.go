package entry

import (
	"testing"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// An outdated state in a later announcement does not make an upstream available again.
func TestUpstreamStateNeverRegresses(t *testing.T) {
	b := newBalancer(Config{Name: "e1"})
	u := headRecord("head1")
	for sequence, step := range []struct{ told, want fleet.State }{
		{fleet.Ready, fleet.Ready}, {fleet.Draining, fleet.Draining}, {fleet.Ready, fleet.Draining},
		{fleet.Gone, fleet.Gone}, {fleet.Draining, fleet.Gone}, {fleet.Ready, fleet.Gone},
	} {
		u.State, u.Sequence = step.told, int64(sequence+1)
		b.applyUpstream(0, u)
		if got := b.targets["head1"].State; got != step.want {
			t.Errorf("announced %v: state %v, want %v", step.told, got, step.want)
		}
	}
}
