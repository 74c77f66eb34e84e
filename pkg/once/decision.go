package once

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// DecisionKind is the kind of answer to an Intent.
type DecisionKind string

// The decisions. Only Run lets the attempt send anything.
const (
	Run            DecisionKind = "run"           // this attempt owns the key
	InProgress     DecisionKind = "in-progress"   // another attempt owns the key and has not ended
	Recorded       DecisionKind = "recorded"      // the request ran; Answer is the service's answer
	Unknown        DecisionKind = "unknown"       // an attempt may have run; the key is not run again
	KeyReused      DecisionKind = "key-reused"    // the key belongs to a request with another digest
	RecordsFull    DecisionKind = "full"          // no space for another record
	OpaqueKeysFull DecisionKind = "opaque-full"   // no space for another opaque key
	Expired        DecisionKind = "expired"       // the key is older than the records that are still known
	KeyAhead       DecisionKind = "key-ahead"     // the key's time is too far in the future
	Invalid        DecisionKind = "invalid"       // a field is missing or too long
	NotDeclared    DecisionKind = "not-declared"  // the objects in force declare no such service
	Absent         DecisionKind = "absent"        // a lookup found no attempt that may have run
	AttemptEnded   DecisionKind = "attempt-ended" // this attempt was concluded as not run and must not run now
)

// Decision is the answer to an Intent.
type Decision struct {
	Kind       DecisionKind  `json:"kind"`
	Answer     *Answer       `json:"answer,omitempty"`
	Attempt    string        `json:"attempt,omitempty"` // attempt that owns the key
	Host       view.HostName `json:"host,omitempty"`    // host to which the owner sends its request
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// Outcome returns what is known about the request of a decision other than Run.
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
