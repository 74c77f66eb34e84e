package once

// ResultKind says what a Conclusion led to.
type ResultKind string

// The results.
const (
	Applied    ResultKind = "settled"    // the record now says so
	Unchanged  ResultKind = "same"       // the record said so before
	Superseded ResultKind = "superseded" // the key belongs to another attempt; nothing changed
	Missing    ResultKind = "missing"    // there is no such record; nothing changed
	Conflict   ResultKind = "conflict"   // the record knows better; nothing changed
	Rejected   ResultKind = "rejected"   // the conclusion is malformed; nothing changed
)

// Result answers a Conclusion.
type Result struct {
	Kind ResultKind `json:"kind"`
}
