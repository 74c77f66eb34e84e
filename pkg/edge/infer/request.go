package infer

import "strings"

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is the body of a chat completion request, as far as sesamemux and
// its stand-ins read it.
type Request struct {
	Model        string    `json:"model"` // model group, or model group ":" adapter
	Messages     []Message `json:"messages"`
	Stream       bool      `json:"stream,omitempty"`
	MaxTokens    int       `json:"max_tokens,omitempty"`
	Seed         int64     `json:"seed,omitempty"`
	ResumeOffset int       `json:"resume_offset,omitempty"` // tokens that the caller has
}

// SplitModel returns the model group and the adapter, "" for none.
func SplitModel(model string) (group, adapter string) {
	group, adapter, _ = strings.Cut(model, ":")
	return group, adapter
}

// Prompt returns the text of all messages, which prefix caches work on.
func (r *Request) Prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte(':')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}
