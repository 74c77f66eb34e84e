package object

// FabricDomain is a set of hosts that share a fast interconnect fabric.
type FabricDomain struct {
	Name          string
	FailureDomain string // refers to a FailureDomain
	Hosts         int    // expected number of hosts; limits what can be placed
}
