package control

import (
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"
)

// NewError builds an error of the JSON-RPC interface; data nil leaves it without.
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
