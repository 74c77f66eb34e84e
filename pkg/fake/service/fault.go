package service

import (
	"sync"
	"time"
)

// FaultKind is the type of an injected fault.
type FaultKind string

// The kinds of faults.
const (
	FaultNone             FaultKind = ""                  // no fault
	FaultPause            FaultKind = "pause"             // hold calls before they run, until the fault is replaced
	FaultCutBefore        FaultKind = "cut-before"        // close the connection without running
	FaultCutAfter         FaultKind = "cut-after"         // run, then close the connection without an answer
	FaultCutAnswer        FaultKind = "cut-answer"        // run, then close the connection in the middle of the answer
	FaultSlow             FaultKind = "slow"              // run, then answer after Delay
	FaultLoseReply        FaultKind = "lose-reply"        // run, but never answer
	FaultUnavailableAfter FaultKind = "unavailable-after" // run, then answer 503
	FaultUnavailable      FaultKind = "unavailable"       // answer 503 without running
	FaultRedirect         FaultKind = "redirect"          // run, then answer 307 to the same path
)

// Fault is a request to inject a fault.
type Fault struct {
	Kind  FaultKind `json:"kind"`
	Count int       `json:"count,omitempty"` // number of calls that it affects; 0: all
	// DelayMS is the delay of FaultSlow, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
}

func (f Fault) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// faults holds the fault in force.
type faults struct {
	mu     sync.Mutex
	fault  Fault
	left   int
	lifted chan struct{} // closed when the fault in force is replaced
}

func newFaults() *faults { return &faults{lifted: make(chan struct{})} }

// set replaces the fault in force.
func (f *faults) set(x Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.lifted)
	f.lifted = make(chan struct{})
	f.fault = x
	f.left = x.Count
}

// next returns the fault for one call and a channel that is closed when the fault
// is replaced.
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
