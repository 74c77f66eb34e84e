package announce

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Path is the HTTP path at which gates accept announcements.
const Path = "/v1/announce"

// Interval is the period at which an upstream repeats its announcement.
const Interval = 500 * time.Millisecond

// Announcement describes an upstream host and what it runs.
type Announcement struct {
	Host   view.Host     `json:"host"`
	Status report.Status `json:"status"`
}

// Reply acknowledges an announcement and names the gate that accepted it.
type Reply struct {
	Gate view.GateName `json:"gate"`
}
