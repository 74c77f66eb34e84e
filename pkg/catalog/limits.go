package catalog

import "time"

// Limits bounds the size of a client's request and the time to send it. A zero
// value means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
