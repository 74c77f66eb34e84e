package engine

// FaultPath is the HTTP path that faults are posted to.
const FaultPath = "/v1/fault"

// FaultKind is the type of an injected fault.
type FaultKind string

// The kinds of faults.
const (
	FaultPause         FaultKind = "pause"    // the member stops for Millis milliseconds
	FaultCrash         FaultKind = "die"      // the process exits after AfterTokens tokens of an answer
	FaultTruncate      FaultKind = "truncate" // the connection closes AfterBytes bytes into the event that follows AfterTokens events
	FaultReset         FaultKind = "reset"    // the connection is reset after AfterTokens tokens
	FaultSilent        FaultKind = "silent"   // nothing more is sent after AfterTokens tokens; the connection stays open
	FaultDuplicate     FaultKind = "twice"    // every event is sent twice
	FaultReorder       FaultKind = "swap"     // two events are sent in reverse order after AfterTokens events
	FaultStale         FaultKind = "stale"    // an event of another attempt is inserted after AfterTokens events
	FaultCrashOnPrompt FaultKind = "poison"   // the process exits when a prompt contains Pattern
	FaultSlow          FaultKind = "slow"     // batch steps take Factor times as long
	FaultClear         FaultKind = "clear"    // removes all faults
)

// Fault is a request to inject a fault.
type Fault struct {
	Kind        FaultKind `json:"kind"`
	Millis      int64     `json:"millis,omitempty"`
	AfterTokens int       `json:"after_tokens,omitempty"`
	AfterBytes  int       `json:"after_bytes,omitempty"` // below 0: counted from the end of the event
	Pattern     string    `json:"pattern,omitempty"`
	Factor      float64   `json:"factor,omitempty"`
	Count       int       `json:"count,omitempty"` // number of answers that it affects; 0: one
}
