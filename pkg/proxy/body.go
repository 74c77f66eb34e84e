package proxy

import (
	"encoding/json"
	"strconv"
)

// withFields returns a body that asks for a stream from an offset. Fields that
// the gate doesn't know stay as they are.
func withFields(body []byte, offset int) ([]byte, error) {
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
