package once

// HeaderField is one header line of a recorded answer.
type HeaderField struct {
	Name  string `json:"name" msgpack:"n"`
	Value string `json:"value" msgpack:"v"`
}

// Answer is a service's whole answer as it is recorded.
type Answer struct {
	Status  int           `json:"status" msgpack:"s"`
	Header  []HeaderField `json:"header,omitempty" msgpack:"h,omitempty"`
	Body    []byte        `json:"body,omitempty" msgpack:"b,omitempty"`
	Omitted bool          `json:"omitted,omitempty" msgpack:"o,omitempty"` // header and body were too large to keep
	Size    int64         `json:"size" msgpack:"z"`                        // bytes of the body as it was
}

// bytes is what counts against MaxAnswer.
func (a *Answer) bytes() int64 {
	n := int64(len(a.Body))
	for _, h := range a.Header {
		n += int64(len(h.Name) + len(h.Value))
	}
	return n
}

// within returns the answer, without header and body if it is over the limit.
func (a *Answer) within(limit int64) *Answer {
	if a == nil || a.bytes() <= limit {
		return a
	}
	return &Answer{Status: a.Status, Omitted: true, Size: a.Size}
}
