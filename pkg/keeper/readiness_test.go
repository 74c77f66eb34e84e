package keeper

import (
	"testing"

	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

// TestReadiness follows one replica from its start to its end.
func TestReadiness(t *testing.T) {
	var now replica.Status
	r := &readiness{status: func() replica.Status { return now }}
	for _, c := range []struct {
		name   string
		status replica.Status
		ready  bool
	}{
		{"being admitted", replica.Status{Status: raft.Status{ID: 1, Leader: 2, Last: 5, Handshaking: true}, Applied: 5}, false},
		{"no leader", replica.Status{Status: raft.Status{ID: 1, Last: 5}, Applied: 5}, false},
		{"log behind", replica.Status{Status: raft.Status{ID: 1, Leader: 2, Last: 9}, Applied: 5}, false},
		{"log still behind, and longer", replica.Status{Status: raft.Status{ID: 1, Leader: 2, Last: 20}, Applied: 8}, false},
		{"what it had is applied", replica.Status{Status: raft.Status{ID: 1, Leader: 2, Last: 20}, Applied: 9}, true},
		{"the log goes on", replica.Status{Status: raft.Status{ID: 1, Leader: 2, Last: 90}, Applied: 70}, true},
		{"leader lost", replica.Status{Status: raft.Status{ID: 1, Last: 90}, Applied: 90}, false},
		{"stopped", replica.Status{}, false},
	} {
		now = c.status
		if ready, reason := r.ready(); ready != c.ready || ready == (reason != "") {
			t.Errorf("%s: %v, %q", c.name, ready, reason)
		}
	}
	now = replica.Status{Status: raft.Status{ID: 4, Leader: 2}}
	if ready, _ := (&readiness{status: r.status}).ready(); ready {
		t.Error("a replica with an empty log is ready")
	}
}
