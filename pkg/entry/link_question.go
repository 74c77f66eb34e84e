package entry

import "net/http"

// noIncarnation is an ID that no upstream has.
const noIncarnation = "none"

// linkQuestion returns a health check that is for no upstream. The one that gets it refuses it at once, also
// if it has no room for requests.
func (g *Gateway) linkQuestion(u witness) (*http.Request, error) {
	path := "/"
	if x := g.index.Load(); x != nil {
		if s := x.Service(u.service); s != nil && s.HealthPath != "" {
			path = s.HealthPath
		}
	}
	r, err := http.NewRequest(http.MethodGet, "http://"+u.address+path, nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set(g.cfg.Headers.Incarnation, noIncarnation)
	return r, nil
}
