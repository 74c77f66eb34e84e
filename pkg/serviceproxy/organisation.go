package serviceproxy

import (
	"net/http"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/edge/plaincall"
	"github.com/sesamemux/sesamemux/pkg/outcome"
)

const (
	headerAuthorization = "Authorization"
	bearerPrefix        = "Bearer "
)

// identify sets the organisation of a call: by its API key, or by name for an organisation
// without a key.
func (p *Proxy) identify(r *http.Request, c *call) *refusal {
	v := p.config.View()
	if token, ok := strings.CutPrefix(r.Header.Get(headerAuthorization), bearerPrefix); ok {
		c.organisation, ok = p.keys.ForView(v).Organisation(token)
		if ok {
			return nil
		}
		return refuseNotRun(http.StatusUnauthorized, outcome.ReasonUnauthorised, "unknown API key")
	}
	name := r.Header.Get(HeaderOrganisation)
	o, ok := v.Organisations.Get(name)
	if !ok || o.KeySHA256 != "" {
		return refuseNotRun(http.StatusUnauthorized, outcome.ReasonUnauthorised, "an API key, or the name of an organisation without a key, is required")
	}
	c.organisation = name
	return nil
}

// forwardedHeader returns the header to send to the service: without hop-by-hop fields and
// the API key, and with the organisation that the gate identified.
func forwardedHeader(h http.Header, c *call) http.Header {
	f := plaincall.EndToEndHeader(h)
	f.Del(headerAuthorization)
	f.Set(HeaderOrganisation, c.organisation)
	f.Set(HeaderRequestID, c.id)
	return f
}
