package proxy

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/prefix"
	"github.com/sesamemux/sesamemux/pkg/stream"
	"github.com/sesamemux/sesamemux/pkg/suspect"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// parse reads a request. It returns a refusal with its HTTP status when the
// request can't be served.
func (p *Proxy) parse(r *http.Request, peer bool) (*call, *refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, p.options.MaxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, refuse(http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, "body is over its limit")
	}
	if err != nil {
		return nil, refuse(http.StatusBadRequest, outcome.ReasonInvalid, "body can't be read")
	}
	var req infer.Request
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, refuse(http.StatusBadRequest, outcome.ReasonInvalid, "body is no chat request: "+err.Error())
	}
	x := p.index.Load()
	org, ok := organisationOf(x, r.Header, peer)
	if !ok {
		return nil, refuse(http.StatusUnauthorized, outcome.ReasonUnauthorised, "no organisation matches the credentials")
	}
	c := &call{
		id:           p.newID(),
		callerID:     r.Header.Get(infer.HeaderRequestID),
		organisation: org,
		body:         body,
		streaming:    req.Stream,
		maxTokens:    max(0, req.MaxTokens),
		arrived:      time.Now(),
		grants:       make(chan grant, 1),
		ticket:       p.counter.Add(1),
		outcome:      outcome.NotRun,
		excluded:     make(map[view.TargetID]time.Time),
		refused:      make(map[view.GateName]time.Time),
	}
	c.modelGroup, c.adapter = infer.SplitModel(req.Model)
	if _, ok := x.view.ModelGroups.Get(c.modelGroup); !ok {
		return nil, refuse(http.StatusNotFound, outcome.ReasonNotFound, "no model group "+strconv.Quote(c.modelGroup))
	}
	if c.callerID == "" {
		c.callerID = c.id
	}
	c.trace = c.callerID
	c.tracker = stream.NewTracker(c.id, 0)
	p.readHeader(c, r.Header)
	if peer {
		c.readHop(r.Header, req.ResumeOffset)
	}
	c.blocks = prefix.Blocks(c.adapter, req.Prompt())
	if p.config.Suspects != nil {
		c.fingerprint = suspect.Fingerprint(org.Name, infer.Path, body)
	}
	return c, nil
}

// highestPriority is the highest that a caller can ask for.
const highestPriority = 9

func (p *Proxy) readHeader(c *call, h http.Header) {
	if n, err := strconv.Atoi(h.Get(infer.HeaderPriority)); err == nil {
		c.priority = min(max(n, 0), highestPriority)
	}
	left := p.options.DefaultDeadline
	if ms, err := strconv.ParseInt(h.Get(infer.HeaderDeadline), 10, 64); err == nil && ms > 0 {
		left = time.Duration(min(ms, p.options.MaxRequestTime.Milliseconds())) * time.Millisecond
	}
	c.deadline = c.arrived.Add(min(left, p.options.MaxRequestTime))
}

// readHop takes what another gate says of the request.
func (c *call) readHop(h http.Header, offset int) {
	c.hop = h.Get(infer.HeaderHop)
	c.trace = h.Get(infer.HeaderTrace)
	c.hopAttempt, _ = strconv.Atoi(h.Get(infer.HeaderAttempt))
	c.version = h.Get(infer.HeaderVersion)
	c.tracker = stream.NewTracker(c.id, max(0, offset))
	c.streaming = true
}

// organisationOf finds the organisation by the key, or by name where it needs
// none or a peer has checked it. A wrong key is refused, whatever name comes with
// it.
func organisationOf(x *index, h http.Header, peer bool) (object.Organisation, bool) {
	if key, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer "); ok && !peer {
		name, known := x.keys.Organisation(key)
		if !known {
			return object.Organisation{}, false
		}
		return x.view.Organisations.Get(name)
	}
	o, ok := x.view.Organisations.Get(h.Get(infer.HeaderOrganisation))
	if !ok || (o.KeySHA256 != "" && !peer) {
		return object.Organisation{}, false
	}
	return o, true
}
