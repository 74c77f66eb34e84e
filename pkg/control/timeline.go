package control

import "github.com/sesamemux/sesamemux/pkg/timeline"

// TimelineRequest asks a process for the newest events of its ring.
type TimelineRequest struct {
	Filter timeline.Filter `json:"filter"`
	Limit  int             `json:"limit,omitempty"` // events; 0 for all
}

// TimelineResult holds the events of one process.
type TimelineResult struct {
	Process string           `json:"process"`
	Events  []timeline.Event `json:"events"`
	Dropped uint64           `json:"dropped,omitempty"` // events that did not reach the file
}
