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

// parse reads and validates a request. It returns a refusal if the request can't be served.
func (p *Proxy) parse(r *http.Request, peer bool) (*call, *refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, p.options.MaxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, refuse(http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, "the request body exceeds the size limit")
	}
	if err != nil {
		return nil, refuse(http.StatusBadRequest, outcome.ReasonInvalid, "the request body could not be read")
	}
	var req infer.Request
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, refuse(http.StatusBadRequest, outcome.ReasonInvalid, "the request body is not a valid chat completion request: "+err.Error())
	}
	x := p.index.Load()
	org, ok := organisationOf(x, r.Header, peer)
	if !ok {
		return nil, refuse(http.StatusUnauthorized, outcome.ReasonUnauthorised, "no organisation matches the API key or the organisation header")
	}
	c := &call{
		id:              p.newID(),
		callerID:        r.Header.Get(infer.HeaderRequestID),
		organisation:    org,
		body:            body,
		streaming:       req.Stream,
		maxTokens:       max(0, req.MaxTokens),
		arrived:         time.Now(),
		grants:          make(chan grant, 1),
		ticket:          p.counter.Add(1),
		outcome:         outcome.NotRun,
		excludedTargets: make(map[view.TargetID]time.Time),
		excludedPeers:   make(map[view.GateName]time.Time),
	}
	c.modelGroup, c.adapter = infer.SplitModel(req.Model)
	if _, ok := x.view.ModelGroups.Get(c.modelGroup); !ok {
		return nil, refuse(http.StatusNotFound, outcome.ReasonNotFound, "unknown model group "+strconv.Quote(c.modelGroup))
	}
	if c.callerID == "" {
		c.callerID = c.id
	}
	c.traceID = c.callerID
	c.tracker = stream.NewTracker(c.id, 0)
	p.readHeader(c, r.Header)
	if peer {
		c.readPeerHeader(r.Header, req.ResumeOffset)
	}
	c.blocks = prefix.Blocks(c.adapter, req.Prompt())
	if p.config.Suspects != nil {
		c.fingerprint = suspect.Fingerprint(org.Name, infer.Path, body)
	}
	return c, nil
}

// highestPriority is the highest priority that a caller can request.
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

// readPeerHeader takes over the state of a call from the headers of the gate that handed
// it over.
func (c *call) readPeerHeader(h http.Header, offset int) {
	c.handedOverBy = h.Get(infer.HeaderHop)
	c.traceID = h.Get(infer.HeaderTrace)
	c.peerAttempt, _ = strconv.Atoi(h.Get(infer.HeaderAttempt))
	c.version = h.Get(infer.HeaderVersion)
	c.tracker = stream.NewTracker(c.id, max(0, offset))
	c.streaming = true
}

// organisationOf returns the organisation of a request: by its API key, or by name if the
// organisation has no key or if a peer gate has already checked the key. An unknown key
// is refused, whatever name accompanies it.
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
