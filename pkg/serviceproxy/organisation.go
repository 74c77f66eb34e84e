package serviceproxy

import (
	"net/http"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/edge/plaincall"
	"github.com/sesamemux/sesamemux/pkg/outcome"
)

const (
	headerAuthorization = "Authorization"
	bearer              = "Bearer "
)

// identify finds the organisation of a request: by its API key, or by name for
// one that has no key.
func (p *Proxy) identify(r *http.Request, c *call) *refusal {
	v := p.config.View()
	if token, ok := strings.CutPrefix(r.Header.Get(headerAuthorization), bearer); ok {
		c.organisation, ok = p.keys.ForView(v).Organisation(token)
		if ok {
			return nil
		}
		return notRun(http.StatusUnauthorized, outcome.ReasonUnauthorised, "no organisation has this key")
	}
	name := r.Header.Get(HeaderOrganisation)
	o, ok := v.Organisations.Get(name)
	if !ok || o.KeySHA256 != "" {
		return notRun(http.StatusUnauthorized, outcome.ReasonUnauthorised, "send the organisation's key, or the name of one without a key")
	}
	c.organisation = name
	return nil
}

// forwarded returns the headers for the service: its own connection's apart,
// without the API key, and with the organisation that the gate found.
func forwarded(h http.Header, c *call) http.Header {
	f := plaincall.EndToEndHeader(h)
	f.Del(headerAuthorization)
	f.Set(HeaderOrganisation, c.organisation)
	f.Set(HeaderRequestID, c.id)
	return f
}
