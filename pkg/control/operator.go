package control

import (
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// ApplyRequest asks to publish a complete set of objects. BaseRevision is the
// object revision that the operator's edit started from; equal bases race and
// one wins. A resend with the same ChangeID and content gets the first answer.
type ApplyRequest struct {
	ChangeID     string `json:"change_id"`
	BaseRevision uint64 `json:"base_revision"`
	Operator     string `json:"operator,omitempty"`
	File         string `json:"file"` // named in problems
	Text         string `json:"text"` // INI
	CheckOnly    bool   `json:"check_only,omitempty"`
}

// ChangeResult tells of an accepted change.
type ChangeResult struct {
	ObjectRevision uint64           `json:"object_revision"` // base for the next change
	ViewRevision   view.Revision    `json:"view_revision"`   // wait for this to be in force
	Resent         bool             `json:"resent,omitempty"`
	Problems       []object.Problem `json:"problems,omitempty"` // if any, nothing was published
}

// GetResult holds the objects in force.
type GetResult struct {
	ObjectRevision uint64 `json:"object_revision"`
	Text           string `json:"text"` // INI
}

// GetRequest asks for the objects of a revision, 0 for those in force.
type GetRequest struct {
	ObjectRevision uint64 `json:"object_revision,omitempty"`
}

// Change is one accepted change in the history.
type Change struct {
	ObjectRevision uint64        `json:"object_revision"`
	ViewRevision   view.Revision `json:"view_revision"`
	ChangeID       string        `json:"change_id"`
	Operator       string        `json:"operator,omitempty"`
	Kind           string        `json:"kind"` // apply, rollback, drain, restore
	Summary        string        `json:"summary"`
	At             view.Time     `json:"at"`
}

// HistoryResult lists accepted changes, newest first.
type HistoryResult struct {
	Changes []Change `json:"changes"`
}

// RollbackRequest publishes the objects of an earlier revision as a new one.
type RollbackRequest struct {
	ChangeID     string `json:"change_id"`
	BaseRevision uint64 `json:"base_revision"`
	To           uint64 `json:"to"`
	Operator     string `json:"operator,omitempty"`
}

// DrainRequest takes a failure domain or upstream out, or back in for
// MethodRestore.
type DrainRequest struct {
	ChangeID string         `json:"change_id"`
	Kind     view.DrainKind `json:"kind"`
	Name     string         `json:"name"`
	Operator string         `json:"operator,omitempty"`
}

// WaitRequest waits until a view revision is in force on every gate that may
// take work, at most TimeoutMS.
type WaitRequest struct {
	ViewRevision view.Revision `json:"view_revision"`
	TimeoutMS    int64         `json:"timeout_ms"`
}

// WaitResult tells how far the slowest gate is.
type WaitResult struct {
	InForce      bool            `json:"in_force"`
	Barrier      view.Revision   `json:"barrier"`
	LaggingGates []view.GateName `json:"behind,omitempty"`
}

// GateStatus is one gate as the leader knows it.
type GateStatus struct {
	Gate        view.Gate     `json:"gate"`
	InForce     view.Revision `json:"in_force"`
	LeaseLeftMS int64         `json:"lease_left_ms"` // below 0: lapsed
}

// KeeperStatus is one replica's consensus state.
type KeeperStatus struct {
	ID            uint64   `json:"id"`
	Address       string   `json:"address"`
	Role          string   `json:"role"` // leader, follower, candidate, learner
	Leader        uint64   `json:"leader"`
	Term          uint64   `json:"term"`
	CommitIndex   uint64   `json:"commit"`
	AppliedIndex  uint64   `json:"applied"`
	LastIndex     uint64   `json:"last"`     // index of the last entry in its log
	SnapshotIndex uint64   `json:"snapshot"` // index of the last entry in its snapshot
	Members       []Member `json:"members"`
}

// Member is one replica of the quorum.
type Member struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	Learner bool   `json:"learner,omitempty"`
}

// KeeperReplaceRequest replaces a lost replica by a new one at an address.
type KeeperReplaceRequest struct {
	Old     uint64 `json:"old"`
	New     uint64 `json:"new"`
	Address string `json:"address"`
}

// Status is the whole state in short.
type Status struct {
	Leader          string        `json:"leader"`
	ObjectRevision  uint64        `json:"object_revision"`
	ViewRevision    view.Revision `json:"view_revision"`
	Barrier         view.Revision `json:"barrier"`
	Keepers         []Member      `json:"keepers"`
	Gates           []GateStatus  `json:"gates"`
	Hosts           []view.Host   `json:"hosts"`
	Groups          []view.Group  `json:"groups"`
	Shares          []view.Share  `json:"shares"`
	Drains          []view.Drain  `json:"drains"`
	GroupDowntimeMS int64         `json:"group_downtime_ms"`
	StrandedHosts   int           `json:"stranded_hosts"`
}

// QuarantineReleaseRequest ends a quarantine before its time.
type QuarantineReleaseRequest struct {
	Fingerprint view.Fingerprint `json:"fingerprint"`
	Operator    string           `json:"operator,omitempty"`
}

// QuarantineListResult lists suspects and convicted fingerprints.
type QuarantineListResult struct {
	Quarantines []view.Quarantine `json:"quarantines"`
}
