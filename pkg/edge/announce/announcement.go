package announce

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Path is where gates take announcements.
const Path = "/v1/announce"

// Interval is the time between two announcements of one upstream.
const Interval = 500 * time.Millisecond

// Announcement is what an upstream says of itself.
type Announcement struct {
	Host   view.Host     `json:"host"`
	Status report.Status `json:"status"`
}

// Reply tells the upstream that it was heard.
type Reply struct {
	Gate view.GateName `json:"gate"`
}
