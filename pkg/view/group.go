package view

// GroupID names one instance of a model group, such as "assistant-3".
type GroupID string

// Epoch counts the formations of groups over the whole system; no two
// formations share one. It serves as the fencing number of orders.
type Epoch uint64

// GroupState is a step in the life of a group.
type GroupState string

// The life of a group. Only StateServing takes new work.
const (
	StateForming    GroupState = "forming"
	StateLoading    GroupState = "loading"
	StateVerifying  GroupState = "verifying"
	StateServing    GroupState = "serving"
	StateSuspended  GroupState = "suspended"
	StateDissolving GroupState = "dissolving"
)

// Member is one host of a group. Rank 0 is the head, which takes requests.
type Member struct {
	Host        HostName
	Incarnation Incarnation
	Address     string
	Rank        int
}

// Group is one instance of a model group on its hosts.
type Group struct {
	ID            GroupID
	ModelGroup    string
	Epoch         Epoch
	State         GroupState
	Version       string
	Adapters      []string
	FabricDomain  string
	FailureDomain string
	Members       []Member
	Draining      bool // takes no new work; running work finishes
}
