package object

// FabricDomain is a set of hosts that share a fast fabric.
type FabricDomain struct {
	Name          string
	FailureDomain string // refers to a FailureDomain
	Hosts         int    // hosts expected there; bounds feasible placement
}
