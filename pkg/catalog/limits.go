package catalog

import "time"

// Limits bound what a client may send and how long it may take. A zero value
// sets no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
