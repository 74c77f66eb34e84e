package serviceproxy

import (
	"net/http"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/edge/plaincall"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// anyMethod in a service object lists a path for all methods.
const anyMethod = "*"

// call is one admitted request of a caller.
type call struct {
	id           string
	organisation string
	name         string // of the service
	service      object.Service
	method       string
	path         string // decoded, below the service
	rawPath      string
	rawQuery     string
	header       http.Header
	body         []byte
}

// once tells whether the service lists the call as once-only. The comparison
// errs towards it: prefixes needn't end at a '/', and case doesn't matter.
func (c *call) once() bool {
	for _, l := range c.service.OnceOnly {
		if l.Method != anyMethod && !strings.EqualFold(l.Method, c.method) {
			continue
		}
		if strings.HasPrefix(strings.ToLower(c.path), strings.ToLower(l.Path)) {
			return true
		}
	}
	return false
}

// idempotent tells whether repeating the call is harmless.
func (c *call) idempotent() bool {
	switch c.method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return !c.once()
	}
	return false
}

// request returns the call for one host.
func (c *call) request(h view.Host) *plaincall.Request {
	return &plaincall.Request{
		Address:  h.Address,
		Method:   c.method,
		Path:     c.path,
		RawPath:  c.rawPath,
		RawQuery: c.rawQuery,
		Header:   c.header,
		Body:     c.body,
	}
}
