package serviceproxy

import (
	"net/http"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/edge/plaincall"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// anyMethod in a service object stands for all methods.
const anyMethod = "*"

// call is one request of a caller.
type call struct {
	id           string
	organisation string
	name         string // service name from the path
	service      object.Service
	method       string
	path         string // decoded, relative to the service
	rawPath      string
	rawQuery     string
	header       http.Header
	body         []byte
}

// isOnceOnly reports whether the service object lists the call as once-only. The match is
// deliberately broad: prefixes need not end at a '/', and case is ignored.
func (c *call) isOnceOnly() bool {
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

// idempotent reports whether the call may be repeated safely.
func (c *call) idempotent() bool {
	switch c.method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return !c.isOnceOnly()
	}
	return false
}

// request returns the request to send to a host.
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
