package once

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// DecisionKind says what an Intent led to.
type DecisionKind string

// The decisions. Only Run lets the attempt send anything.
const (
	Run            DecisionKind = "run"           // this attempt owns the key
	InProgress     DecisionKind = "in-progress"   // another attempt owns the key and has not ended
	Recorded       DecisionKind = "recorded"      // it ran; Answer is what the service said
	Unknown        DecisionKind = "unknown"       // an attempt may have run; the key is not run again
	KeyReused      DecisionKind = "key-reused"    // the key belongs to a request with another digest
	RecordsFull    DecisionKind = "full"          // no room for another record
	OpaqueKeysFull DecisionKind = "opaque-full"   // no room for another key that carries no time
	Expired        DecisionKind = "expired"       // the key is older than what is still known
	KeyAhead       DecisionKind = "key-ahead"     // the key's time lies too far in the future
	Invalid        DecisionKind = "invalid"       // a field is missing or too long
	NotDeclared    DecisionKind = "not-declared"  // no such service in the objects in force
	Absent         DecisionKind = "absent"        // a look found no attempt that may have run
	AttemptEnded   DecisionKind = "attempt-ended" // this attempt was concluded as not run; it must not run now
)

// Decision answers an Intent.
type Decision struct {
	Kind       DecisionKind  `json:"kind"`
	Answer     *Answer       `json:"answer,omitempty"`
	Attempt    string        `json:"attempt,omitempty"` // that owns the key
	Host       view.HostName `json:"host,omitempty"`    // that the owner was to send to
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// Outcome tells what is known of the request of a decision, other than Run.
func (d Decision) Outcome() outcome.Outcome {
	switch d.Kind {
	case Recorded:
		return outcome.Ran
	case KeyReused, RecordsFull, OpaqueKeysFull, KeyAhead, Invalid, NotDeclared, Absent, AttemptEnded:
		return outcome.NotRun
	default:
		return outcome.Unknown
	}
}
