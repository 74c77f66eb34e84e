package once

// HeaderField is one header line of a recorded answer.
type HeaderField struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Answer is a service's whole answer as it is recorded.
type Answer struct {
	Status  int           `json:"status"`
	Header  []HeaderField `json:"header,omitempty"`
	Body    []byte        `json:"body,omitempty"`
	Omitted bool          `json:"omitted,omitempty"` // header and body were too large to keep
	Size    int64         `json:"size"`              // bytes of the body as it was
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
