package introspect

import (
	"context"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/timeline"
)

// maxTimelineEvents limits the events in one response.
const maxTimelineEvents = 20_000

// ServeTimeline registers control.MethodTimeline, which returns events from r's ring buffer.
func ServeTimeline(s *rpc.Server, process string, r *timeline.Recorder) {
	rpc.Handle(s, string(control.MethodTimeline), func(_ context.Context, req control.TimelineRequest) (control.TimelineResult, error) {
		limit := req.Limit
		if limit <= 0 || limit > maxTimelineEvents {
			limit = maxTimelineEvents
		}
		return control.TimelineResult{
			Process: process,
			Events:  r.Events(req.Filter, limit),
			Dropped: r.Dropped(),
		}, nil
	})
}
