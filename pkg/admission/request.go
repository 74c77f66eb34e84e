package admission

import "time"

// Request is a request that waits for service. Times are on the caller's clock.
type Request struct {
	ID           uint64
	Organisation string
	Weight       int // at least 1
	MaxQueued    int // limit of the organisation's waiting requests; 0 selects Options.MaxQueued
	Priority     int // higher goes first within the organisation
	Cost         float64
	Deadline     time.Duration // 0 means none

	arrival uint64 // sequence number of the arrival
}
