package catalog

import (
	"strings"

	"github.com/rotisserie/eris"
)

// ErrInvalid is returned for a set of objects that fails validation. The message
// names the object and the reason.
var ErrInvalid = eris.New("invalid set of objects")

// Set is the complete configuration that takes effect at once. It is read-only.
type Set struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Check validates the set as a whole.
func (s *Set) Check() error {
	services := map[string]bool{}
	for _, v := range s.Services {
		if v.Name == "" || services[v.Name] {
			return eris.Wrapf(ErrInvalid, "service name %q is empty or not unique", v.Name)
		}
		services[v.Name] = true
	}
	routesByPrefix := map[string]string{}
	for i := range s.Routes {
		if err := s.Routes[i].check(services); err != nil {
			return err
		}
		prefix := s.Routes[i].Host + "\x00" + s.Routes[i].Prefix
		if other, taken := routesByPrefix[prefix]; taken {
			return eris.Wrapf(ErrInvalid, "routes %q and %q have the same host and prefix", other, s.Routes[i].Name)
		}
		routesByPrefix[prefix] = s.Routes[i].Name
	}
	return s.checkKeys()
}

func (r *Route) check(services map[string]bool) error {
	total := 0
	for _, b := range r.Backends {
		if !services[b.Service] {
			return eris.Wrapf(ErrInvalid, "route %q refers to unknown service %q", r.Name, b.Service)
		}
		if b.Weight < 0 {
			return eris.Wrapf(ErrInvalid, "route %q has a backend with a negative weight", r.Name)
		}
		total += b.Weight
	}
	switch {
	case total <= 0:
		return eris.Wrapf(ErrInvalid, "route %q has no backend with a weight above 0", r.Name)
	case r.Timeout <= 0:
		return eris.Wrapf(ErrInvalid, "route %q has no timeout above 0", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return eris.Wrapf(ErrInvalid, "route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	case r.Host == "":
		return eris.Wrapf(ErrInvalid, "route %q has no host", r.Name)
	}
	return nil
}

func (s *Set) checkKeys() error {
	owners := map[string]string{}
	for _, o := range s.Organisations {
		for _, key := range o.Keys {
			if owner, taken := owners[key]; taken && owner != o.Name {
				return eris.Wrapf(ErrInvalid, "organisations %q and %q share an API key", owner, o.Name)
			}
			owners[key] = o.Name
		}
	}
	return nil
}
