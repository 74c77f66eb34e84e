package object

// Set is a complete set of objects, sorted by name within each kind. Only a
// Set that Check accepted is published.
type Set struct {
	FailureDomains []FailureDomain
	FabricDomains  []FabricDomain
	Versions       []Version
	Adapters       []Adapter
	ModelGroups    []ModelGroup
	Services       []Service
	Organisations  []Organisation
}
