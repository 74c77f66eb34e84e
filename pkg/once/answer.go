package once

// HeaderField is a header line of a recorded answer.
type HeaderField struct {
	Name  string `json:"name" msgpack:"n"`
	Value string `json:"value" msgpack:"v"`
}

// Answer is a service's complete answer as it is recorded.
type Answer struct {
	Status  int           `json:"status" msgpack:"s"`
	Header  []HeaderField `json:"header,omitempty" msgpack:"h,omitempty"`
	Body    []byte        `json:"body,omitempty" msgpack:"b,omitempty"`
	Omitted bool          `json:"omitted,omitempty" msgpack:"o,omitempty"` // header and body were too large to record
	Size    int64         `json:"size" msgpack:"z"`                        // size of the original body in bytes
}

// storedBytes returns the size that counts towards MaxAnswer.
func (a *Answer) storedBytes() int64 {
	n := int64(len(a.Body))
	for _, h := range a.Header {
		n += int64(len(h.Name) + len(h.Value))
	}
	return n
}

// truncated returns the answer, without header and body if it exceeds the limit.
func (a *Answer) truncated(limit int64) *Answer {
	if a == nil || a.storedBytes() <= limit {
		return a
	}
	return &Answer{Status: a.Status, Omitted: true, Size: a.Size}
}
