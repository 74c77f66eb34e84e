package engine

// FaultPath is where faults are ordered.
const FaultPath = "/v1/fault"

// FaultKind is what goes wrong.
type FaultKind string

// The faults.
const (
	FaultPause         FaultKind = "pause"    // nothing happens for Millis
	FaultCrash         FaultKind = "die"      // the process ends after AfterTokens of an answer
	FaultTruncate      FaultKind = "truncate" // the connection ends AfterBytes into the event that follows AfterTokens events
	FaultReset         FaultKind = "reset"    // the connection is reset after AfterTokens
	FaultSilent        FaultKind = "silent"   // nothing more comes on the connection after AfterTokens
	FaultDuplicate     FaultKind = "twice"    // every event comes twice
	FaultReorder       FaultKind = "swap"     // two events change places after AfterTokens
	FaultStale         FaultKind = "stale"    // an event of another attempt comes after AfterTokens
	FaultCrashOnPrompt FaultKind = "poison"   // the process ends when a prompt holds Pattern
	FaultSlow          FaultKind = "slow"     // steps take Factor times as long
	FaultClear         FaultKind = "clear"    // all faults end
)

// Fault is an order for something to go wrong.
type Fault struct {
	Kind        FaultKind `json:"kind"`
	Millis      int64     `json:"millis,omitempty"`
	AfterTokens int       `json:"after_tokens,omitempty"`
	AfterBytes  int       `json:"after_bytes,omitempty"` // below 0: from the end of the event
	Pattern     string    `json:"pattern,omitempty"`
	Factor      float64   `json:"factor,omitempty"`
	Count       int       `json:"count,omitempty"` // answers that it strikes; 0: one
}
