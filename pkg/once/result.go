package once

// ResultKind is the kind of answer to a Conclusion.
type ResultKind string

// The results.
const (
	Applied    ResultKind = "settled"    // the record was updated
	Unchanged  ResultKind = "same"       // the record already had this outcome
	Superseded ResultKind = "superseded" // the key belongs to another attempt; nothing changed
	Missing    ResultKind = "missing"    // no such record; nothing changed
	Conflict   ResultKind = "conflict"   // the record's state contradicts the conclusion; nothing changed
	Rejected   ResultKind = "rejected"   // the conclusion is malformed; nothing changed
)

// Result is the answer to a Conclusion.
type Result struct {
	Kind ResultKind `json:"kind"`
}
