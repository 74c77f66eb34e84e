package control

import "github.com/sesamemux/sesamemux/pkg/timeline"

// TimelineRequest asks a process for the newest events in its ring buffer.
type TimelineRequest struct {
	Filter timeline.Filter `json:"filter"`
	Limit  int             `json:"limit,omitempty"` // maximum number of events; 0 for all
}

// TimelineResult holds the events of one process.
type TimelineResult struct {
	Process string           `json:"process"`
	Events  []timeline.Event `json:"events"`
	Dropped uint64           `json:"dropped,omitempty"` // number of events that were not written to the file
}
