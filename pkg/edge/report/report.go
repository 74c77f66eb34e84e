package report

import "github.com/sesamemux/sesamemux/pkg/view"

// Path is where upstreams answer with a Report.
const Path = "/v1/report"

// Phase is what an engine member is doing with its order.
type Phase string

// The phases of an engine member.
const (
	PhaseIdle    Phase = "idle"    // holds no role
	PhaseLoading Phase = "loading" // fetches weights
	PhaseReady   Phase = "ready"   // loaded, can serve as a member of its group
	PhaseFailed  Phase = "failed"  // the order could not be carried out
)

// Status is the durable part of a report: what the host runs.
type Status struct {
	Incarnation view.Incarnation `json:"incarnation"`
	Group       view.GroupID     `json:"group,omitempty"`
	Epoch       view.Epoch       `json:"epoch,omitempty"`
	Version     string           `json:"version,omitempty"`
	Adapters    []string         `json:"adapters,omitempty"`
	Rank        int              `json:"rank"`
	Phase       Phase            `json:"phase"`
}

// Load is the volatile part of a report.
type Load struct {
	Running         int     `json:"running"`      // requests in the batch
	Waiting         int     `json:"waiting"`      // requests queued in the engine
	CacheUsed       float64 `json:"cache_used"`   // share of the KV cache in use, in [0,1]
	TokensPerSecond float64 `json:"tokens_per_s"` // generated tokens a second
	FinishedTotal   uint64  `json:"finished_all"` // requests finished since the start
}

// CacheEvent tells that prefix blocks entered or left the KV cache.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"` // prefix block hashes
	Evicted  []uint64 `json:"evicted,omitempty"`
}

// Report is the answer of GET Path. With the query parameter after=N it holds
// the cache events after sequence N that the engine still has.
type Report struct {
	Host   view.HostName `json:"host"`
	Status Status        `json:"status"`
	Load   Load          `json:"load"`
	Events []CacheEvent  `json:"events,omitempty"`
}
