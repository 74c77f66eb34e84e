package state

import (
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/suspect"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Command is one entry of the replicated log. At is proposed by the leader;
// the state never goes back behind the latest. Exactly one other field is set.
type Command struct {
	At           view.Time
	Publish      *Publish                `msgpack:",omitempty"`
	Rollback     *Rollback               `msgpack:",omitempty"`
	Drain        *Drain                  `msgpack:",omitempty"`
	RegisterGate *view.Gate              `msgpack:",omitempty"`
	GateGone     *membership.Session     `msgpack:",omitempty"`
	Observe      *Observation            `msgpack:",omitempty"`
	Intend       *once.Intent            `msgpack:",omitempty"`
	Conclude     *once.Conclusion        `msgpack:",omitempty"`
	Crash        *suspect.CrashReported  `msgpack:",omitempty"`
	RanWell      *suspect.SuspectCleared `msgpack:",omitempty"`
	Release      *suspect.Released       `msgpack:",omitempty"`
}

// Publish puts a checked set of objects in force.
type Publish struct {
	ChangeID     string
	BaseRevision uint64
	Operator     string
	Set          object.Set
	Digest       string // of the change's content, to tell a resend from a reuse
}

// Rollback puts the set of an earlier revision in force.
type Rollback struct {
	ChangeID     string
	BaseRevision uint64
	To           uint64
	Operator     string
	Digest       string
}

// Drain takes something out of service, or back in when Restore is set.
type Drain struct {
	ChangeID string
	Kind     view.DrainKind
	Name     string
	Restore  bool
	Operator string
	Digest   string
}

// Observation is what the leader has learned since its last one. All parts
// take effect at one revision.
type Observation struct {
	Seen    []view.Host             `msgpack:",omitempty"`
	Lost    []HostIncarnation       `msgpack:",omitempty"`
	Reports []HostReport            `msgpack:",omitempty"`
	Uses    []GateUsage             `msgpack:",omitempty"`
	Settled []SettledGroup          `msgpack:",omitempty"`
	Counts  []permit.TargetReported `msgpack:",omitempty"`
	Barrier view.Revision           `msgpack:",omitempty"`
	Tick    bool                    `msgpack:",omitempty"`
}

// HostIncarnation is one start of an upstream host.
type HostIncarnation struct {
	Host        view.HostName
	Incarnation view.Incarnation
}

// HostReport is what an engine host says it runs.
type HostReport struct {
	Host   view.HostName
	Status report.Status
}

// GateUsage is one gate's use of targets.
type GateUsage struct {
	Gate  view.GateName
	Uses  []view.TargetUse
	Final bool `msgpack:",omitempty"` // the gate has given its lease up
}

// SettledGroup is a draining group that no gate has work on.
type SettledGroup struct {
	Group view.GroupID
	Epoch view.Epoch
}

// Empty tells whether the observation changes nothing.
func (o *Observation) Empty() bool {
	return len(o.Seen) == 0 && len(o.Lost) == 0 && len(o.Reports) == 0 &&
		len(o.Uses) == 0 && len(o.Settled) == 0 && len(o.Counts) == 0 && o.Barrier == 0 && !o.Tick
}
