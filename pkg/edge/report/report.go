package report

import "github.com/sesamemux/sesamemux/pkg/view"

// Path is the HTTP path at which upstreams serve a Report.
const Path = "/v1/report"

// Phase is the progress of an engine member in carrying out its order.
type Phase string

// The phases of an engine member.
const (
	PhaseIdle    Phase = "idle"    // holds no role
	PhaseLoading Phase = "loading" // fetching weights
	PhaseReady   Phase = "ready"   // weights loaded, able to serve as a member of its group
	PhaseFailed  Phase = "failed"  // the order could not be carried out
)

// Status is the lasting part of a report: the role and version that the host runs.
type Status struct {
	Incarnation view.Incarnation `json:"incarnation"`
	Group       view.GroupID     `json:"group,omitempty"`
	Epoch       view.Epoch       `json:"epoch,omitempty"`
	Version     string           `json:"version,omitempty"`
	Adapters    []string         `json:"adapters,omitempty"`
	Rank        int              `json:"rank"`
	Phase       Phase            `json:"phase"`
}

// Load is the part of a report that changes with each request.
type Load struct {
	Running         int     `json:"running"`      // requests in the batch
	Waiting         int     `json:"waiting"`      // requests queued in the engine
	CacheUsed       float64 `json:"cache_used"`   // fraction of the KV cache in use, in [0,1]
	TokensPerSecond float64 `json:"tokens_per_s"` // tokens generated per second
	FinishedTotal   uint64  `json:"finished_all"` // requests finished since the process started
}

// CacheEvent reports prefix blocks that were added to or evicted from the KV cache.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"` // prefix block hashes
	Evicted  []uint64 `json:"evicted,omitempty"`
}

// Report is the response to GET Path. With the query parameter after=N it contains
// the cache events after sequence number N that the engine still holds.
type Report struct {
	Host   view.HostName `json:"host"`
	Status Status        `json:"status"`
	Load   Load          `json:"load"`
	Events []CacheEvent  `json:"events,omitempty"`
}
