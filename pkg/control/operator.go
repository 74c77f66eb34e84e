package control

import (
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// ApplyRequest asks to publish a complete set of objects. BaseRevision is the object revision that
// the operator's edit is based on: of several changes with the same base, only one is accepted.
// A retry with the same ChangeID and content gets the first answer.
type ApplyRequest struct {
	ChangeID     string `json:"change_id"`
	BaseRevision uint64 `json:"base_revision"`
	Operator     string `json:"operator,omitempty"`
	File         string `json:"file"` // file name to report in problems
	Text         string `json:"text"` // INI
	CheckOnly    bool   `json:"check_only,omitempty"`
}

// ChangeResult is the result of a change: the new revisions, or the problems that prevented it.
type ChangeResult struct {
	ObjectRevision uint64           `json:"object_revision"`    // base revision for the next change
	ViewRevision   view.Revision    `json:"view_revision"`      // view revision that contains the change
	Resent         bool             `json:"resent,omitempty"`   // whether the change had been accepted before
	Problems       []object.Problem `json:"problems,omitempty"` // if there are any, nothing was published
}

// GetResult holds the objects of one revision.
type GetResult struct {
	ObjectRevision uint64 `json:"object_revision"`
	Text           string `json:"text"` // INI
}

// GetRequest asks for the objects of a revision, or of the one in force if it is 0.
type GetRequest struct {
	ObjectRevision uint64 `json:"object_revision,omitempty"`
}

// Change is one accepted change in the history. It is stored with its field names.
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

// RollbackRequest asks to publish the objects of revision To as a new revision.
type RollbackRequest struct {
	ChangeID     string `json:"change_id"`
	BaseRevision uint64 `json:"base_revision"`
	To           uint64 `json:"to"`
	Operator     string `json:"operator,omitempty"`
}

// DrainRequest asks to drain a failure domain or upstream. MethodRestore takes it too, to end the
// drain.
type DrainRequest struct {
	ChangeID string         `json:"change_id"`
	Kind     view.DrainKind `json:"kind"`
	Name     string         `json:"name"`
	Operator string         `json:"operator,omitempty"`
}

// WaitRequest asks to wait, for at most TimeoutMS, until a view revision is in force on every gate
// that may take work.
type WaitRequest struct {
	ViewRevision view.Revision `json:"view_revision"`
	TimeoutMS    int64         `json:"timeout_ms"`
}

// WaitResult reports whether a revision is in force, and otherwise which gates lag.
type WaitResult struct {
	InForce      bool            `json:"in_force"`
	Barrier      view.Revision   `json:"barrier"` // revision in force on every gate that may take work
	LaggingGates []view.GateName `json:"behind,omitempty"`
}

// GateStatus is the state of one gate as known to the leader.
type GateStatus struct {
	Gate        view.Gate     `json:"gate"`
	InForce     view.Revision `json:"in_force"`
	LeaseLeftMS int64         `json:"lease_left_ms"` // negative if the lease has lapsed
}

// KeeperStatus is the consensus state of one keeper's replica.
type KeeperStatus struct {
	ID            uint64   `json:"id"`
	Address       string   `json:"address"`
	Role          string   `json:"role"` // leader, follower, candidate or learner
	Leader        uint64   `json:"leader"`
	Term          uint64   `json:"term"`
	CommitIndex   uint64   `json:"commit"`
	AppliedIndex  uint64   `json:"applied"`
	LastIndex     uint64   `json:"last"`     // last entry in its log
	SnapshotIndex uint64   `json:"snapshot"` // last entry covered by its snapshot
	Members       []Member `json:"members"`
}

// Member is one replica of the keepers' consensus group.
type Member struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	Learner bool   `json:"learner,omitempty"`
}

// KeeperReplaceRequest asks to replace the lost replica Old by the new replica New at Address.
type KeeperReplaceRequest struct {
	Old     uint64 `json:"old"`
	New     uint64 `json:"new"`
	Address string `json:"address"`
}

// Status is a summary of the whole state.
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

// QuarantineReleaseRequest asks to end a quarantine before it expires.
type QuarantineReleaseRequest struct {
	Fingerprint view.Fingerprint `json:"fingerprint"`
	Operator    string           `json:"operator,omitempty"`
}

// QuarantineListResult lists suspected and convicted fingerprints.
type QuarantineListResult struct {
	Quarantines []view.Quarantine `json:"quarantines"`
}
