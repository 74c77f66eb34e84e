package gatedaemon

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/serviceproxy"
	"github.com/sesamemux/sesamemux/pkg/timeline"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// recorder records the model proxy's events on the time line and counts attempts.
type recorder struct {
	timeline *timeline.Recorder
	attempts *attemptCounters
}

// Record implements proxy.Recorder. The proxy's event names are the kinds of the time line.
func (r *recorder) Record(event string, pairs ...any) {
	e := timeline.Event{Kind: timeline.Kind(event)}
	var rest []string
	var canceled bool // the caller disconnected, which is not a failure of the upstream
	for i := 0; i+1 < len(pairs); i += 2 {
		key, value := fmt.Sprint(pairs[i]), fmt.Sprint(pairs[i+1])
		if err, ok := pairs[i+1].(error); ok {
			canceled = eris.Is(err, context.Canceled)
		}
		switch key {
		case "request":
			e.Request = value
		case "group":
			e.Group = value
		case "host":
			e.Host = value
		case "attempt":
			e.Attempt, _ = strconv.Atoi(value)
		default:
			rest = append(rest, key+"="+value)
		}
	}
	e.Text = strings.Join(rest, " ")
	r.timeline.Record(e)
	switch {
	case e.Kind == timeline.RequestSent:
		r.attempts.countSent(view.HostName(e.Host))
	case e.Kind == timeline.RequestBroken && !canceled:
		r.attempts.countBroken(view.HostName(e.Host))
	}
}

// serviceRecorder records the service proxy's events on the time line and counts attempts.
type serviceRecorder struct {
	timeline *timeline.Recorder
	attempts *attemptCounters
}

// serviceKinds maps event kinds of the service proxy to kinds of the time line.
var serviceKinds = map[serviceproxy.EventKind]timeline.Kind{
	serviceproxy.EventSend:   timeline.RequestSent,
	serviceproxy.EventEnd:    timeline.RequestFinished,
	serviceproxy.EventRefuse: timeline.RequestRefused,
}

// Record implements serviceproxy.Timeline.
func (r *serviceRecorder) Record(e serviceproxy.Event) {
	kind, ok := serviceKinds[e.Kind]
	if !ok {
		kind = timeline.Kind(e.Kind)
	}
	r.timeline.Record(timeline.Event{
		Kind:    kind,
		Request: e.Request,
		Host:    string(e.Host),
		Text:    strings.TrimSpace(fmt.Sprintf("service=%s organisation=%s %s", e.Service, e.Organisation, e.Outcome)),
	})
	switch {
	case e.Kind == serviceproxy.EventSend:
		r.attempts.countSent(e.Host)
	case e.Kind == serviceproxy.EventEnd && e.Outcome != outcome.Ran:
		r.attempts.countBroken(e.Host)
	}
}
