package control

import (
	"github.com/sesamemux/sesamemux/pkg/durable"
	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// FleetSyncRequest tells the leading coordinator what a process holds and what
// it saw. The answer comes at once when there is news, else after WaitMS.
type FleetSyncRequest struct {
	Process   string `json:"process"` // unique name of the asking process
	EntryHost bool   `json:"entry"`   // it serves clients
	Zone      string `json:"zone"`

	Session  string `json:"session"`  // of the last answer; a leadership
	Revision uint64 `json:"revision"` // of the upstreams held, in that session
	Index    uint64 `json:"index"`    // of the durable state held
	WaitMS   int64  `json:"wait_ms"`

	Running            map[string]int     `json:"running,omitempty"`  // own requests at each head, by ID
	AwaitingFirstEvent map[string]int     `json:"unread,omitempty"`   // those of them from which nothing has come yet
	OfferedLoad        map[string]float64 `json:"load,omitempty"`     // engine time that arriving requests need in a second, by model
	SinceLastEventMS   map[string]int64   `json:"progress,omitempty"` // ms since a head last sent something, where that is short
	HasArrivals        bool               `json:"arrivals,omitempty"` // clients' requests have come
	PlacerAddress      string             `json:"places,omitempty"`   // host:port at which it places other entry hosts' requests
}

// FleetSyncResult is the news for one process.
type FleetSyncResult struct {
	Session   string `json:"session"`
	Converged bool   `json:"settled"` // the leader has heard all live upstreams; who is missing is gone
	Full      bool   `json:"full"`    // Upstreams are all that are known, not only changes
	Revision  uint64 `json:"revision"`
	Index     uint64 `json:"index"`
	// DocumentVersion is of the document in force, -1 when there is none. Any
	// coordinator that holds it hands it out (fleet.document).
	DocumentVersion int64 `json:"version"`
	// Evacuated and Departures are set when Index is above the request's.
	Evacuated          []string            `json:"evacuated,omitempty"`
	Departures         []durable.Departure `json:"departures,omitempty"`
	Upstreams          []fleet.Upstream    `json:"upstreams,omitempty"`
	Running            map[string]int      `json:"running,omitempty"` // at each head, over all processes
	AwaitingFirstEvent map[string]int      `json:"unread,omitempty"`
	EntryHosts         int                 `json:"entries"` // processes that serve clients
	Coordinators       []string            `json:"peers"`   // host:port of the coordinators
	Placers            map[string]string   `json:"placers"` // host:port of the entry host that places a model's requests; nil: not decided yet
}

// FleetAnnounceResult names the leader's address for upstreams.
type FleetAnnounceResult struct {
	Leader string `json:"leader"` // host:port for operators and upstreams
}

// FleetSuspectRequest names a head from which nothing came any more.
type FleetSuspectRequest struct {
	Process  string `json:"process"`
	Head     string `json:"head"` // upstream ID
	SilentMS int64  `json:"silent_ms"`
	Refused  bool   `json:"refused"` // its address refused a connection
}

// FleetDocumentRequest asks a coordinator for a document that it may hold.
type FleetDocumentRequest struct {
	MinVersion int64 `json:"version"` // least version
}

// FleetReadResult is the document in force, nil when there is none.
type FleetReadResult struct {
	Document *durable.Document `json:"document,omitempty"`
}

// FleetJoinRequest asks for a place among the coordinators.
type FleetJoinRequest struct {
	Address string `json:"address"` // host:port for our own processes
}

// FleetJoinResult is the replica that the asking coordinator becomes.
type FleetJoinResult struct {
	Replica uint64   `json:"replica"`
	Cluster string   `json:"cluster"`
	Peers   []string `json:"peers"`
}

// FleetPlaceRequest asks the entry host that places a model's requests for a
// place at a head.
type FleetPlaceRequest struct {
	Process       string   `json:"process"` // the asking entry host
	PlacementID   uint64   `json:"place"`   // number of the place, unique in the life of the asking process
	Service       string   `json:"service"`
	Model         string   `json:"model"`
	PromptTokens  int      `json:"tokens"`            // of the prompt
	Resumed       bool     `json:"resumes,omitempty"` // a stream that has begun goes on
	ExcludedHeads []string `json:"avoid,omitempty"`   // heads that were tried, or fail at the asking host
	RemainingMS   int64    `json:"left_ms"`           // time of the request; the place is free after it
}

// FleetPlaceResult is the place, or why there is none.
type FleetPlaceResult struct {
	Head   string `json:"head,omitempty"` // upstream ID
	Reason string `json:"reason,omitempty"`
}

// FleetPlacedRequest tells what became of places.
type FleetPlacedRequest struct {
	Process  string             `json:"process"`
	Started  []uint64           `json:"begun,omitempty"` // the first event came
	Ended    []uint64           `json:"ended,omitempty"`
	Slowdown map[string]float64 `json:"slow,omitempty"` // time between events against the expected one, by head
}
