package view

// GroupID names one instance of a model group, such as "assistant-3".
type GroupID string

// Epoch numbers the formations of groups in the whole system; each formation has
// its own. It serves as the fencing number of orders.
type Epoch uint64

// GroupState is the lifecycle state of a group.
type GroupState string

// Lifecycle states of a group. Only a group in StateServing takes new work.
const (
	StateForming    GroupState = "forming"
	StateLoading    GroupState = "loading"
	StateVerifying  GroupState = "verifying"
	StateServing    GroupState = "serving"
	StateSuspended  GroupState = "suspended"
	StateDissolving GroupState = "dissolving"
)

// Member is one host of a group. Rank 0 is the head, which receives the requests.
type Member struct {
	Host        HostName
	Incarnation Incarnation
	Address     string
	Rank        int
}

// Group is one instance of a model group with its hosts.
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
