package serviceproxy

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"path"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// PathPrefix is the path prefix of calls to plain services.
const PathPrefix = "/svc/"

// admit validates a request and reads its body. Together with a refusal it returns the
// call as far as it was parsed.
func (p *Proxy) admit(w http.ResponseWriter, r *http.Request) (*call, *refusal) {
	c := &call{id: p.requestID(), method: r.Method, rawQuery: r.URL.RawQuery}
	w.Header().Set(HeaderRequestID, c.id)
	if !p.config.Lease.Valid() {
		return c, refuseNotRun(http.StatusServiceUnavailable, outcome.ReasonNoLease, "this gate has no valid lease and accepts no new work").withRetryAfter(shortRetryAfter)
	}
	if refused := p.identify(r, c); refused != nil {
		return c, refused
	}
	if refused := p.resolveService(r.URL, c); refused != nil {
		return c, refused
	}
	c.header = forwardedHeader(r.Header, c)
	return c, p.readBody(w, r, c)
}

// resolveService sets the service of a call and the path below it.
func (p *Proxy) resolveService(u *url.URL, c *call) *refusal {
	name, rest, ok := splitPath(u.Path)
	if !ok {
		return refuseNotRun(http.StatusNotFound, outcome.ReasonNotFound, "the path must have the form /svc/<service>/<rest>")
	}
	c.name = name
	c.path = rest
	if u.RawPath != "" {
		_, c.rawPath, _ = splitPath(u.RawPath)
	}
	service, ok := p.config.View().Services.Get(name)
	if !ok {
		return refuseNotRun(http.StatusNotFound, outcome.ReasonNotFound, "unknown service "+name)
	}
	c.service = service
	if len(service.OnceOnly) > 0 && !isCanonicalPath(rest) {
		return refuseNotRun(http.StatusBadRequest, outcome.ReasonInvalid, "the path is not in canonical form")
	}
	if c.method != strings.ToUpper(c.method) || c.method == http.MethodConnect {
		return refuseNotRun(http.StatusBadRequest, outcome.ReasonInvalid, "the HTTP method is not allowed")
	}
	return nil
}

// splitPath splits /svc/<service>/<rest>.
func splitPath(p string) (service, rest string, ok bool) {
	below, ok := strings.CutPrefix(p, PathPrefix)
	if !ok {
		return "", "", false
	}
	service, rest, ok = strings.Cut(below, "/")
	return service, "/" + rest, ok && service != ""
}

// isCanonicalPath reports whether a path is unambiguous, so that a service can't match a
// once-only call under a spelling that the gate doesn't recognise.
func isCanonicalPath(p string) bool {
	if strings.ContainsAny(p, "%\\;") || strings.ContainsFunc(p, func(r rune) bool { return r < ' ' }) {
		return false
	}
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}

func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request, c *call) *refusal {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, p.config.MaxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return refuseNotRun(http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, "the request body exceeds the size limit")
	}
	if err != nil {
		return refuseNotRun(http.StatusBadRequest, outcome.ReasonInvalid, "the request body was not received completely")
	}
	c.body = body
	return nil
}
