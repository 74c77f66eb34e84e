package object

import (
	"cmp"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/inifile"
)

// item is one object of any kind with its fields.
type item struct {
	ref    Ref
	fields []inifile.Field
}

// String formats the reference as in a section header.
func (r Ref) String() string { return string(r.Kind) + " " + r.Name }

// items lists all objects of a set, ordered by kind and then as in the set.
func (s *Set) items() []item {
	list := make([]item, 0, s.Len())
	add := func(k Kind, name string, fields []inifile.Field) {
		list = append(list, item{Ref{k, name}, fields})
	}
	for i := range s.FailureDomains {
		add(KindFailureDomain, s.FailureDomains[i].Name, s.FailureDomains[i].fields())
	}
	for i := range s.FabricDomains {
		add(KindFabricDomain, s.FabricDomains[i].Name, s.FabricDomains[i].fields())
	}
	for i := range s.Versions {
		add(KindVersion, s.Versions[i].Name, s.Versions[i].fields())
	}
	for i := range s.Adapters {
		add(KindAdapter, s.Adapters[i].Name, s.Adapters[i].fields())
	}
	for i := range s.ModelGroups {
		add(KindModelGroup, s.ModelGroups[i].Name, s.ModelGroups[i].fields())
	}
	for i := range s.Services {
		add(KindService, s.Services[i].Name, s.Services[i].fields())
	}
	for i := range s.Organisations {
		add(KindOrganisation, s.Organisations[i].Name, s.Organisations[i].fields())
	}
	return list
}

// add appends an object with default values and returns its fields; false for
// an unknown kind.
func (s *Set) add(r Ref) ([]inifile.Field, bool) {
	switch r.Kind {
	case KindFailureDomain:
		return appendAndGet(&s.FailureDomains, FailureDomain{Name: r.Name}).fields(), true
	case KindFabricDomain:
		return appendAndGet(&s.FabricDomains, FabricDomain{Name: r.Name}).fields(), true
	case KindVersion:
		return appendAndGet(&s.Versions, defaultVersion(r.Name)).fields(), true
	case KindAdapter:
		return appendAndGet(&s.Adapters, Adapter{Name: r.Name}).fields(), true
	case KindModelGroup:
		return appendAndGet(&s.ModelGroups, defaultModelGroup(r.Name)).fields(), true
	case KindService:
		return appendAndGet(&s.Services, defaultService(r.Name)).fields(), true
	case KindOrganisation:
		return appendAndGet(&s.Organisations, defaultOrganisation(r.Name)).fields(), true
	}
	return nil, false
}

// appendAndGet appends v and returns a pointer to it, which is valid until the next append.
func appendAndGet[T any](list *[]T, v T) *T {
	*list = append(*list, v)
	return &(*list)[len(*list)-1]
}

// sort orders the objects of each kind by name.
func (s *Set) sort() {
	sortByName(s.FailureDomains, func(v FailureDomain) string { return v.Name })
	sortByName(s.FabricDomains, func(v FabricDomain) string { return v.Name })
	sortByName(s.Versions, func(v Version) string { return v.Name })
	sortByName(s.Adapters, func(v Adapter) string { return v.Name })
	sortByName(s.ModelGroups, func(v ModelGroup) string { return v.Name })
	sortByName(s.Services, func(v Service) string { return v.Name })
	sortByName(s.Organisations, func(v Organisation) string { return v.Name })
}

func sortByName[T any](list []T, name func(T) string) {
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
}
