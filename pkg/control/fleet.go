package control

import (
	"github.com/sesamemux/sesamemux/pkg/durable"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/quarantine"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// FleetSyncRequest tells the leading coordinator which state a process holds and what it has
// observed. The coordinator answers at once if it has newer state, else after WaitMS.
type FleetSyncRequest struct {
	Process   string `json:"process"` // unique name of the requesting process
	EntryHost bool   `json:"entry"`   // whether the process serves clients
	Zone      string `json:"zone"`

	Session  string `json:"session"`  // leadership session of the last answer
	Revision uint64 `json:"revision"` // revision of the upstreams held, within that session
	Index    uint64 `json:"index"`    // log index of the durable state held
	WaitMS   int64  `json:"wait_ms"`

	Running            map[string]int     `json:"running,omitempty"`  // own requests in progress at each head, by upstream ID
	AwaitingFirstEvent map[string]int     `json:"unread,omitempty"`   // those that have not sent their first event
	OfferedLoad        map[string]float64 `json:"load,omitempty"`     // engine seconds demanded per second by arriving requests, by model
	SinceLastEventMS   map[string]int64   `json:"progress,omitempty"` // time since each head's last event; only heads with a recent one
	HasArrivals        bool               `json:"arrivals,omitempty"` // whether requests of clients have arrived
	PlacerAddress      string             `json:"places,omitempty"`   // host:port where this process places requests for other entry hosts

	Limits        map[string]FleetLimit `json:"limits,omitempty"` // that upstreams name, by upstream ID
	LimitRevision uint64                `json:"limit_rev,omitempty"`

	RelayAddress  string `json:"relays,omitempty"` // host:port where this process passes requests on for other entry hosts; empty while it can't
	RelayRevision uint64 `json:"relay_rev,omitempty"`

	// AnyCoordinator is set by an entry host that takes answers of coordinators that follow the leader.
	AnyCoordinator bool `json:"any,omitempty"`
	// ServesEntryHosts is set by a coordinator that answers entry hosts with what the leader tells it.
	ServesEntryHosts bool `json:"serves,omitempty"`
	// OperatorAddress is the host:port at which such a coordinator takes announcements of upstreams.
	OperatorAddress string `json:"operators,omitempty"`
	// InForce is the version of the document in force at an entry host, -1 for none. Processes of
	// earlier versions don't tell it.
	InForce *int64 `json:"in_force,omitempty"`
}

// InForceVersion returns the version of the document in force at the process, -1 if there is none or
// it doesn't tell.
func (r *FleetSyncRequest) InForceVersion() int64 {
	if r.InForce == nil {
		return -1
	}
	return *r.InForce
}

// FleetSyncResult holds what has changed for one process.
type FleetSyncResult struct {
	Session   string `json:"session"`
	Converged bool   `json:"settled"` // the leader has heard from all live upstreams; absent ones are gone
	Full      bool   `json:"full"`    // Upstreams lists all known upstreams, not only changes
	Revision  uint64 `json:"revision"`
	Index     uint64 `json:"index"`
	// DocumentVersion is the version of the document in force, or -1 if there is none. Any
	// coordinator that holds the document serves it (fleet.document).
	DocumentVersion int64 `json:"version"`
	// Document is the document in force, for a process that has told that it holds an earlier one.
	Document *durable.Document `json:"document,omitempty"`
	// Evacuated, Departures and Quarantine are set when Index differs from that of the request.
	Evacuated          []string            `json:"evacuated,omitempty"`
	Departures         []durable.Departure `json:"departures,omitempty"`
	Quarantine         quarantine.List     `json:"quarantine,omitempty"`
	Upstreams          []fleet.Upstream    `json:"upstreams,omitempty"`
	Running            map[string]int      `json:"running,omitempty"` // requests in progress at each head, over all processes
	AwaitingFirstEvent map[string]int      `json:"unread,omitempty"`
	EntryHosts         int                 `json:"entries"` // number of processes that serve clients
	Coordinators       []string            `json:"peers"`   // host:port of each coordinator
	// Limits are those that upstreams name, and those that ended lately, by upstream ID.
	Limits        map[string]FleetLimit `json:"limits,omitempty"`
	LimitRevision uint64                `json:"limit_rev,omitempty"`
	Placers       map[string]string     `json:"placers"` // host:port of the entry host that places each model's requests; nil: not assigned yet
	// Relays are the host:port of all entry hosts that pass requests on for others; nil: unchanged.
	Relays        []string `json:"relays,omitzero"`
	RelayRevision uint64   `json:"relay_rev,omitempty"`
	// Leader is the host:port of the leading coordinator, which takes the reports of those that follow
	// it. It is empty in answers of earlier versions, which come from the leader alone.
	Leader string `json:"leader,omitempty"`
	// LeaderSession is the session of that leader. It differs from Session in answers of coordinators that
	// follow it.
	LeaderSession string `json:"leader_session,omitempty"`
	// Servers are the host:port of the coordinators that answer entry hosts in place of the leader.
	Servers []string `json:"servers,omitempty"`
}

// SessionOfLeader returns the session of the leader that the result is of. Earlier versions don't tell it;
// their answers come from the leader alone.
func (r *FleetSyncResult) SessionOfLeader() string {
	if r.LeaderSession == "" {
		return r.Session
	}
	return r.LeaderSession
}

// FleetAnnounceResult holds the address for the upstream's next announcements.
type FleetAnnounceResult struct {
	Leader string `json:"leader"` // host:port of a coordinator, not always of the leader
}

// FleetSuspectRequest reports a head that has stopped responding.
type FleetSuspectRequest struct {
	Process  string `json:"process"`
	Head     string `json:"head"` // upstream ID
	SilentMS int64  `json:"silent_ms"`
	Refused  bool   `json:"refused"` // whether its address refused a connection
}

// FleetDocumentRequest asks a coordinator for its document if that is recent enough.
type FleetDocumentRequest struct {
	MinVersion int64 `json:"version"`
}

// FleetReadResult holds the document in force, nil if there is none.
type FleetReadResult struct {
	Document *durable.Document `json:"document,omitempty"`
}

// FleetJoinRequest asks to join the coordinators.
type FleetJoinRequest struct {
	Address string `json:"address"` // host:port for sesamemux's own processes
	// Holds is the replica that the coordinator holds and to which no leader speaks, 0 for none. It keeps
	// that one if it is still a member. Leaders of earlier versions assign a new one in any case.
	Holds   uint64 `json:"holds,omitempty"`
	Cluster string `json:"cluster,omitempty"` // of the replica held
}

// FleetJoinResult tells the joining coordinator which replica it becomes.
type FleetJoinResult struct {
	Replica uint64   `json:"replica"`
	Cluster string   `json:"cluster"`
	Peers   []string `json:"peers"`
}

// FleetRemovedRequest asks whether a replica was removed.
type FleetRemovedRequest struct {
	Replica uint64 `json:"replica"`
	Cluster string `json:"cluster"`
}

// FleetRemovedResult tells whether a replica is known to have been removed for good.
type FleetRemovedResult struct {
	Removed bool `json:"removed"`
}

// FleetPlaceRequest asks the placer of a model to place one request at a head.
type FleetPlaceRequest struct {
	Process       string   `json:"process"` // the requesting entry host
	PlacementID   uint64   `json:"place"`   // unique within the life of the requesting process
	Service       string   `json:"service"`
	Model         string   `json:"model"`
	PromptTokens  int      `json:"tokens"`
	Resumed       bool     `json:"resumes,omitempty"` // whether the request resumes a stream that has begun
	Standby       bool     `json:"standby,omitempty"` // whether it is for a standby beside an upstream that has the request
	ExcludedHeads []string `json:"avoid,omitempty"`   // heads already tried, or failing from the requesting host
	RemainingMS   int64    `json:"left_ms"`           // until the request's deadline; the placement is released after it
}

// FleetPlaceResult holds the head chosen, or the reason why there is none.
type FleetPlaceResult struct {
	Head   string `json:"head,omitempty"` // upstream ID
	Reason string `json:"reason,omitempty"`
}

// FleetPlacedRequest reports the progress of earlier placements to the placer.
type FleetPlacedRequest struct {
	Process  string             `json:"process"`
	Started  []uint64           `json:"begun,omitempty"` // placements whose first event has arrived
	Ended    []uint64           `json:"ended,omitempty"`
	Slowdown map[string]float64 `json:"slow,omitempty"` // ratio of actual to expected time between events, by head
}

// FleetRunsRequest reports to the leader how runs of requests ended.
type FleetRunsRequest struct {
	Process string             `json:"process"`
	Crashed []FleetCrashedRun  `json:"crashed,omitempty"`
	Cleared []view.Fingerprint `json:"cleared,omitempty"` // requests that ran to their end, and the parts of their prompts
	// ClearedBy are the runs of Cleared, in the same order.
	ClearedBy []FleetCompletedRun `json:"cleared_by,omitempty"`
	// Progressed are runs that write their answers, by request and part: how long ago the last of them
	// began, in microseconds.
	Progressed map[view.Fingerprint]int64 `json:"progressed,omitempty"`
	Ended      []FleetTrial               `json:"ended,omitempty"` // trials that ended without a verdict
}

// FleetCrashedRun is a request, or a part of a prompt, that was running when its upstream ended.
type FleetCrashedRun struct {
	Fingerprint view.Fingerprint `json:"f"`
	Crash       FleetCrash       `json:"crash"`
	Trial       string           `json:"trial,omitempty"` // the trial that the run was; empty if none
	// Parts are the parts of the request's prompt that are accused with it.
	Parts []view.Fingerprint `json:"parts,omitempty"`
	// Completed are the last completed runs of the request and its parts at the reporting process.
	Completed map[view.Fingerprint]FleetCompletedRun `json:"completed,omitempty"`
}

// FleetTrial is a trial of a suspect.
type FleetTrial struct {
	Fingerprint view.Fingerprint `json:"f"`
	Trial       string           `json:"trial"` // unique
	// NotRun is set at the end of a trial if the request reached no upstream or was not run there.
	NotRun bool `json:"notrun,omitempty"`
}

// FleetTrialRequest asks the leader for a trial of a suspect.
type FleetTrialRequest struct {
	Process string `json:"process"`
	FleetTrial
	Crashes []FleetCrash `json:"crashes,omitempty"` // seen by this process
	// Parts are the parts of the request's prompt that are not known to be harmless. The trial is one
	// of all suspects among these and the request; all are granted or none.
	Parts       []view.Fingerprint                `json:"parts,omitempty"`
	PartCrashes map[view.Fingerprint][]FleetCrash `json:"part_crashes,omitempty"` // seen by this process, by part
	RemainingMS int64                             `json:"left_ms"`                // until the request's deadline
}

// FleetTrialResult says whether the request may run.
type FleetTrialResult struct {
	Verdict   quarantine.Verdict `json:"verdict"`           // Free, NeedsTrial if the trial is granted, or MustRefuse
	Busy      bool               `json:"busy,omitempty"`    // with MustRefuse: another trial is running
	ExpiresMS int64              `json:"expires,omitempty"` // with MustRefuse unless Busy: Unix milliseconds
}
