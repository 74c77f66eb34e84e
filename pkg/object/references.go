package object

import (
	"slices"
	"strings"
)

// reference is a reference from a field of one object to another object.
type reference struct {
	from  Ref
	field string
	to    Ref
}

// referencesOf lists every reference of a set, in the set's order.
func referencesOf(s *Set) []reference {
	var list []reference
	add := func(from Ref, field string, kind Kind, names ...string) {
		for _, n := range names {
			if n != "" {
				list = append(list, reference{from, field, Ref{kind, n}})
			}
		}
	}
	for _, d := range s.FabricDomains {
		add(Ref{KindFabricDomain, d.Name}, "failure_domain", KindFailureDomain, d.FailureDomain)
	}
	for _, a := range s.Adapters {
		add(Ref{KindAdapter, a.Name}, "versions", KindVersion, a.Versions...)
	}
	for _, m := range s.ModelGroups {
		from := Ref{KindModelGroup, m.Name}
		add(from, "version", KindVersion, m.Version)
		add(from, "adapters", KindAdapter, m.Adapters...)
		add(from, "failure_domains", KindFailureDomain, m.FailureDomains...)
	}
	for _, v := range s.Services {
		from := Ref{KindService, v.Name}
		add(from, "model_groups", KindModelGroup, v.ModelGroups...)
		add(from, "services", KindService, v.Services...)
	}
	return list
}

// references rejects references to objects that are not in the set. Invalid names are
// reported elsewhere.
func (c *checker) references() {
	for _, r := range referencesOf(c.set) {
		if !c.known[r.to] && CheckName(r.to.Name) == nil {
			c.add(r.from, r.field, "refers to [%s], which is not in the set", r.to)
		}
	}
}

// adapters checks that adapters are compatible with the versions that they are used with.
func (c *checker) adapters() {
	versions := make(map[string]Version)
	for _, v := range c.set.Versions {
		versions[v.Name] = v
	}
	adapters := make(map[string]Adapter)
	for _, a := range c.set.Adapters {
		adapters[a.Name] = a
		c.adapterVersions(a, versions)
	}
	for _, m := range c.set.ModelGroups {
		for _, name := range m.Adapters {
			a, ok := adapters[name]
			if ok && c.known[Ref{KindVersion, m.Version}] && !slices.Contains(a.Versions, m.Version) {
				c.add(Ref{KindModelGroup, m.Name}, "adapters", "adapter %s is not compatible with version %s; it is compatible with %s",
					name, m.Version, strings.Join(a.Versions, ", "))
			}
		}
	}
}

func (c *checker) adapterVersions(a Adapter, versions map[string]Version) {
	for _, name := range a.Versions {
		v, ok := versions[name]
		if ok && v.Model != a.Model {
			c.add(Ref{KindAdapter, a.Name}, "versions", "version %s is of model %s, the adapter is for model %s", name, v.Model, a.Model)
		}
	}
}
