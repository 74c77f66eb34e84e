package catalog

import (
	"sort"
	"strings"
)

// Index answers the questions of the request path. It is read-only.
type Index struct {
	Set      *Set
	hosts    map[string][]*Route // longest prefix first
	keys     map[string]*Organisation
	services map[string]*Service
}

// NewIndex returns the index of a valid set.
func NewIndex(s *Set) *Index {
	x := &Index{
		Set:      s,
		hosts:    map[string][]*Route{},
		keys:     map[string]*Organisation{},
		services: map[string]*Service{},
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		x.hosts[r.Host] = append(x.hosts[r.Host], r)
	}
	for _, routes := range x.hosts {
		sort.Slice(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range s.Organisations {
		for _, key := range s.Organisations[i].Keys {
			x.keys[key] = &s.Organisations[i]
		}
	}
	for i := range s.Services {
		x.services[s.Services[i].Name] = &s.Services[i]
	}
	return x
}

// Route returns the route with the longest prefix of path on a host, nil when
// there is none.
func (x *Index) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range x.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Organisation returns the holder of an API key, nil when nobody holds it.
func (x *Index) Organisation(key string) *Organisation { return x.keys[key] }

// Service returns a service by name, nil when there is none.
func (x *Index) Service(name string) *Service { return x.services[name] }

// RequiresAPIKey tells whether requests must carry an API key.
func (x *Index) RequiresAPIKey() bool { return len(x.Set.Organisations) > 0 }
