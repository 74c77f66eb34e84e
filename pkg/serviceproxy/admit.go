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

// PathPrefix is where calls of plain services arrive.
const PathPrefix = "/svc/"

// admit checks a request and reads its body. The call is returned also with a
// refusal, as far as it is known.
func (p *Proxy) admit(w http.ResponseWriter, r *http.Request) (*call, *refusal) {
	c := &call{id: p.requestID(), method: r.Method, rawQuery: r.URL.RawQuery}
	w.Header().Set(HeaderRequestID, c.id)
	if !p.config.Lease.Valid() {
		return c, notRun(http.StatusServiceUnavailable, outcome.ReasonNoLease, "this gate may take no new work now").after(retrySoon)
	}
	if refused := p.identify(r, c); refused != nil {
		return c, refused
	}
	if refused := p.locate(r.URL, c); refused != nil {
		return c, refused
	}
	c.header = forwarded(r.Header, c)
	return c, p.readBody(w, r, c)
}

// locate finds the service and the path below it.
func (p *Proxy) locate(u *url.URL, c *call) *refusal {
	name, rest, ok := splitPath(u.Path)
	if !ok {
		return notRun(http.StatusNotFound, outcome.ReasonNotFound, "the path is not /svc/<service>/<rest>")
	}
	c.name = name
	c.path = rest
	if u.RawPath != "" {
		_, c.rawPath, _ = splitPath(u.RawPath)
	}
	service, ok := p.config.View().Services.Get(name)
	if !ok {
		return notRun(http.StatusNotFound, outcome.ReasonNotFound, "no service "+name)
	}
	c.service = service
	if len(service.OnceOnly) > 0 && !plainPath(rest) {
		return notRun(http.StatusBadRequest, outcome.ReasonInvalid, "the path is not in its plain form")
	}
	if c.method != strings.ToUpper(c.method) || c.method == http.MethodConnect {
		return notRun(http.StatusBadRequest, outcome.ReasonInvalid, "the method is not allowed")
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

// plainPath tells whether a service can read a path in one way only, so that
// no other spelling hides a once-only call.
func plainPath(p string) bool {
	if strings.ContainsAny(p, "%\\;") || strings.ContainsFunc(p, func(r rune) bool { return r < ' ' }) {
		return false
	}
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}

func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request, c *call) *refusal {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, p.config.MaxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return notRun(http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, "the body is too large")
	}
	if err != nil {
		return notRun(http.StatusBadRequest, outcome.ReasonInvalid, "the body did not arrive in whole")
	}
	c.body = body
	return nil
}
