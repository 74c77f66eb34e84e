package infer

import "github.com/sesamemux/sesamemux/pkg/outcome"

// ErrorEvent is the data of the last event of a stream that failed. No end marker
// follows it.
type ErrorEvent struct {
	Error outcome.Refusal `json:"error"`
}
