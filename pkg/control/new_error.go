package control

import (
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"
)

// NewError returns a JSON-RPC error with the given code and message. It carries data as JSON
// unless data is nil or cannot be encoded.
func NewError(code int64, message string, data any) error {
	e := &jsonrpc2.Error{Code: code, Message: message}
	if data == nil {
		return e
	}
	raw, err := json.Marshal(data)
	if err != nil {
		return e
	}
	r := json.RawMessage(raw)
	e.Data = &r
	return e
}
