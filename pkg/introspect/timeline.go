package introspect

import (
	"context"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/timeline"
)

// maxEvents bounds the events of one answer.
const maxEvents = 20_000

// ServeTimeline answers control.MethodTimeline from a recorder's ring.
func ServeTimeline(s *rpc.Server, process string, r *timeline.Recorder) {
	rpc.Handle(s, string(control.MethodTimeline), func(_ context.Context, req control.TimelineRequest) (control.TimelineResult, error) {
		limit := req.Limit
		if limit <= 0 || limit > maxEvents {
			limit = maxEvents
		}
		return control.TimelineResult{
			Process: process,
			Events:  r.Events(req.Filter, limit),
			Dropped: r.Dropped(),
		}, nil
	})
}
