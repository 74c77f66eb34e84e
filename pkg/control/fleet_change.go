package control

import (
	"fmt"

	"github.com/sesamemux/sesamemux/pkg/durable"
)

// FleetBaseRequest asks the leader for what an order of an operator or upstream is based on, of which one
// field is set.
type FleetBaseRequest struct {
	Zone     string `json:"zone,omitempty"`
	Instance string `json:"instance,omitempty"` // upstream ID
}

// FleetBase is a state of a zone or upstream that the leader knew. An order that is based on it is carried
// out only as long as it holds.
type FleetBase struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`         // of the last order for the zone in that term
	Absent   bool   `json:"absent,omitempty"` // there is no such upstream
	// StartedMS is the lifetime of the upstream.
	StartedMS int64 `json:"born,omitempty"`
}

// String returns the base as it is written in logs.
func (b FleetBase) String() string {
	if b.StartedMS != 0 {
		return fmt.Sprintf("incarnation of %d", b.StartedMS)
	}
	return fmt.Sprintf("order %d of term %d", b.Sequence, b.Term)
}

// FleetChangeRequest asks the leader to put a change in force.
type FleetChangeRequest struct {
	durable.Command
	// Base is nil for changes with a version, and in calls of earlier versions.
	Base *FleetBase `json:"base,omitempty"`
}
