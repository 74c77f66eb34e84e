package permit

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// ErrSnapshot is returned for a snapshot that cannot be decoded.
var ErrSnapshot = eris.New("cannot decode permit snapshot")

// snapshot is the encoded form of the complete state; targets are sorted.
type snapshot struct {
	Gates   map[view.GateName]view.Incarnation
	Leaving map[view.GateName]bool
	Targets []*target
}

// Snapshot returns the complete state. Equal states give equal bytes.
func (a *Allocator) Snapshot() ([]byte, error) {
	return json.Marshal(snapshot{Gates: a.gates, Leaving: a.leaving, Targets: a.sortedTargets()})
}

// Restore replaces the complete state.
func (a *Allocator) Restore(b []byte) error {
	var s snapshot
	if err := json.Unmarshal(b, &s); err != nil {
		return eris.Wrap(ErrSnapshot, err.Error())
	}
	a.generation++
	a.gates = s.Gates
	if a.gates == nil {
		a.gates = make(map[view.GateName]view.Incarnation)
	}
	a.leaving = s.Leaving
	if a.leaving == nil {
		a.leaving = make(map[view.GateName]bool)
	}
	a.targets = make(map[view.TargetID]*target, len(s.Targets))
	for _, t := range s.Targets {
		a.targets[t.ID] = t
	}
	return nil
}
