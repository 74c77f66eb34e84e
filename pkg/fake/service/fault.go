package service

import (
	"sync"
	"time"
)

// FaultKind says how a service fails.
type FaultKind string

// The kinds of faults.
const (
	FaultNone             FaultKind = ""                  // healthy
	FaultPause            FaultKind = "pause"             // hold calls before they run, until the fault is lifted
	FaultCutBefore        FaultKind = "cut-before"        // close the connection and don't run
	FaultCutAfter         FaultKind = "cut-after"         // run, then close without an answer
	FaultCutAnswer        FaultKind = "cut-answer"        // run, then close in the middle of the answer
	FaultSlow             FaultKind = "slow"              // run, then answer after Delay
	FaultLoseReply        FaultKind = "lose-reply"        // run and never answer
	FaultUnavailableAfter FaultKind = "unavailable-after" // run, then answer 503
	FaultUnavailable      FaultKind = "unavailable"       // answer 503 and don't run
	FaultRedirect         FaultKind = "redirect"          // run, then answer 307 to the same path
)

// Fault is an order to fail.
type Fault struct {
	Kind  FaultKind `json:"kind"`
	Count int       `json:"count,omitempty"` // calls that it strikes; 0: all
	// DelayMS is the delay of FaultSlow, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
}

func (f Fault) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// faults holds the fault in force.
type faults struct {
	mu     sync.Mutex
	fault  Fault
	left   int
	lifted chan struct{} // closed when the fault in force ends
}

func newFaults() *faults { return &faults{lifted: make(chan struct{})} }

// order puts a fault in force in place of the one before.
func (f *faults) order(x Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.lifted)
	f.lifted = make(chan struct{})
	f.fault = x
	f.left = x.Count
}

// next returns the fault for one call and a channel that closes when it is
// lifted.
func (f *faults) next() (Fault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := f.fault
	if x.Count > 0 {
		f.left--
		if f.left <= 0 {
			f.fault = Fault{}
		}
	}
	return x, f.lifted
}
