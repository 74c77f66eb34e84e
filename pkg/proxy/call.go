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

// call is one model request handled by the proxy.
type call struct {
	id           string // unique across all gates
	callerID     string // request ID set by the caller or the peer gate
	traceID      string // identifies the request on the time line
	handedOverBy string // gate that handed the call over; empty for a caller's request
	peerAttempt  int    // attempt number of the gate that handed the call over
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
	onTrial      bool          // runs as the trial of a suspect request
	trialGate    view.GateName // gate that must run the trial

	ticket          uint64
	grants          chan grant // buffered for one grant
	tracker         *stream.Tracker
	version         string // model version that started the answer
	attempt         int
	retries         int
	crashes         int
	excludedTargets map[view.TargetID]time.Time // targets that failed the call, and until when to skip them
	excludedPeers   map[view.GateName]time.Time // peers that failed or refused the call, and until when to skip them
	outcome         outcome.Outcome
	firstTokenSent  bool
	arrived         time.Time
}

// exclusionPeriod is how long a target or peer is skipped after it failed a call.
const exclusionPeriod = time.Second

func (c *call) excludeTarget(t view.TargetID) { c.excludedTargets[t] = time.Now().Add(exclusionPeriod) }

func (c *call) isTargetExcluded(t view.TargetID) bool { return time.Now().Before(c.excludedTargets[t]) }

func (c *call) excludePeer(g view.GateName) { c.excludedPeers[g] = time.Now().Add(exclusionPeriod) }

func (c *call) isPeerExcluded(g view.GateName) bool { return time.Now().Before(c.excludedPeers[g]) }

// currentExclusions returns the targets to skip now.
func (c *call) currentExclusions() []view.TargetID {
	var list []view.TargetID
	for t := range c.excludedTargets {
		if c.isTargetExcluded(t) {
			list = append(list, t)
		}
	}
	return list
}

// defaultCostTokens is the assumed cost of a request without a token limit.
const defaultCostTokens = 256

// retryPriorityBoost is added to the priority of a retry, as the request has already
// waited once. It ranks retries above all priorities that callers can request.
const retryPriorityBoost = 100

func (c *call) toTicket(p *Proxy) admission.Request {
	t := admission.Request{
		ID:           c.ticket,
		Organisation: c.organisation.Name,
		Weight:       c.organisation.Weight,
		MaxQueued:    c.organisation.MaxQueued,
		Priority:     c.priority,
		Cost:         defaultCostTokens,
		Deadline:     c.deadline.Sub(p.started),
	}
	if c.maxTokens > 0 {
		t.Cost = float64(c.maxTokens)
	}
	if c.attempt > 0 {
		t.Priority += retryPriorityBoost
	}
	return t
}

// upstreamBody returns the body of the next attempt, which always asks for a stream from
// the offset that the caller has received.
func (c *call) upstreamBody() ([]byte, error) {
	if c.streaming && c.tracker.Offset() == 0 {
		return c.body, nil
	}
	return withStreamFields(c.body, c.tracker.Offset())
}

func (c *call) eventID(offset int) infer.EventID {
	return infer.EventID{Request: c.callerID, Attempt: c.peerAttempt, Offset: offset}
}
