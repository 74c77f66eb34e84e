package stream

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
)

// Assembler builds a single completion from the forwarded events.
type Assembler struct {
	first  *infer.Chunk
	text   strings.Builder
	finish string
	usage  *infer.Usage
}

// Add appends the data of a forwarded event.
func (a *Assembler) Add(data []byte) error {
	var c infer.Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return eris.Wrap(ErrMalformed, err.Error())
	}
	if a.first == nil {
		a.first = &c
	}
	if c.Usage != nil {
		a.usage = c.Usage
	}
	for _, choice := range c.Choices {
		a.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			a.finish = *choice.FinishReason
		}
	}
	return nil
}

// Completion returns the completion. The stream must be complete.
func (a *Assembler) Completion() infer.Completion {
	c := infer.Completion{Object: infer.ObjectCompletion, Usage: a.usage}
	if a.first != nil {
		c.ID, c.Created, c.Model = a.first.ID, a.first.Created, a.first.Model
		c.SystemFingerprint = a.first.SystemFingerprint
	}
	c.Choices = []infer.Choice{{
		Message:      infer.Message{Role: "assistant", Content: a.text.String()},
		FinishReason: a.finish,
	}}
	return c
}
