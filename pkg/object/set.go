package object

// Set is a complete set of objects, sorted by name within each kind. Only a Set
// without problems in Check is published.
type Set struct {
	FailureDomains []FailureDomain
	FabricDomains  []FabricDomain
	Versions       []Version
	Adapters       []Adapter
	ModelGroups    []ModelGroup
	Services       []Service
	Organisations  []Organisation
}

// Len returns the number of objects.
func (s *Set) Len() int {
	return len(s.FailureDomains) + len(s.FabricDomains) + len(s.Versions) + len(s.Adapters) +
		len(s.ModelGroups) + len(s.Services) + len(s.Organisations)
}
