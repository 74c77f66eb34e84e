package proxy

import (
	"encoding/json"
	"strconv"
)

// withStreamFields returns a copy of a request body that asks for a stream from an
// offset. Fields unknown to the gate are left unchanged.
func withStreamFields(body []byte, offset int) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	delete(fields, "resume_offset")
	if offset > 0 {
		fields["resume_offset"] = json.RawMessage(strconv.Itoa(offset))
	}
	return json.Marshal(fields)
}
