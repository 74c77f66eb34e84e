package admission

import "time"

// Request is one request that wants service. Times are on the driver's clock.
type Request struct {
	ID           uint64
	Organisation string
	Weight       int // at least 1
	MaxQueued    int // waiting requests of the organisation at most
	Priority     int // higher goes first within the organisation
	Cost         float64
	Deadline     time.Duration // 0: none

	number uint64 // arrival
}
