package proxy

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/admission"
	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/stream"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// call is one request in the proxy.
type call struct {
	id           string // unique over all gates
	callerID     string // the caller's own, or the peer's
	trace        string // names it on the time line
	hop          string // gate that handed it over, "" for a caller
	hopAttempt   int    // that gate's attempt
	organisation object.Organisation
	modelGroup   string
	adapter      string
	body         []byte
	streaming    bool
	maxTokens    int
	priority     int
	deadline     time.Time
	blocks       []uint64
	fingerprint  view.Fingerprint
	isolated     bool
	trialGate    view.GateName // gate that must run it

	ticket   uint64
	grants   chan grant // has room for one
	tracker  *stream.Tracker
	version  string // of the answer that was begun
	attempt  int
	retries  int
	crashes  int
	excluded map[view.TargetID]time.Time // targets that failed, and until when they are left out
	refused  map[view.GateName]time.Time // peers that had no room, and until when they are left out
	outcome  outcome.Outcome
	first    bool // the first token was forwarded
	arrived  time.Time
}

// leaveOut is how long a target or peer that failed a call is left out.
const leaveOut = time.Second

func (c *call) exclude(t view.TargetID) { c.excluded[t] = time.Now().Add(leaveOut) }

func (c *call) isExcluded(t view.TargetID) bool { return time.Now().Before(c.excluded[t]) }

func (c *call) refuseGate(g view.GateName) { c.refused[g] = time.Now().Add(leaveOut) }

func (c *call) isRefused(g view.GateName) bool { return time.Now().Before(c.refused[g]) }

// excludedTargets lists the targets that are left out now.
func (c *call) excludedTargets() []view.TargetID {
	var list []view.TargetID
	for t := range c.excluded {
		if c.isExcluded(t) {
			list = append(list, t)
		}
	}
	return list
}

// defaultCost is the cost in tokens of a request that names no limit.
const defaultCost = 256

// retryPriority lets a request that has waited before go first.
const retryPriority = 100

func (c *call) toTicket(p *Proxy) admission.Request {
	t := admission.Request{
		ID:           c.ticket,
		Organisation: c.organisation.Name,
		Weight:       c.organisation.Weight,
		MaxQueued:    c.organisation.MaxQueued,
		Priority:     c.priority,
		Cost:         defaultCost,
		Deadline:     c.deadline.Sub(p.started),
	}
	if c.maxTokens > 0 {
		t.Cost = float64(c.maxTokens)
	}
	if c.attempt > 0 {
		t.Priority += retryPriority
	}
	return t
}

// upstreamBody returns the body for the next attempt: always a stream, from
// the offset that the caller has.
func (c *call) upstreamBody() ([]byte, error) {
	if c.streaming && c.tracker.Offset() == 0 {
		return c.body, nil
	}
	return withFields(c.body, c.tracker.Offset())
}

func (c *call) eventID(offset int) infer.EventID {
	return infer.EventID{Request: c.callerID, Attempt: c.hopAttempt, Offset: offset}
}
