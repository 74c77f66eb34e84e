package infer

import "strings"

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request holds the fields of a chat completion request that sesamemux and its fake
// engines read.
type Request struct {
	Model        string    `json:"model"` // "group" or "group:adapter"
	Messages     []Message `json:"messages"`
	Stream       bool      `json:"stream,omitempty"`
	MaxTokens    int       `json:"max_tokens,omitempty"`
	Seed         int64     `json:"seed,omitempty"`
	ResumeOffset int       `json:"resume_offset,omitempty"` // tokens that the caller already has
}

// SplitModel splits a model name into the model group and the adapter, which is empty
// if the name has none.
func SplitModel(model string) (group, adapter string) {
	group, adapter, _ = strings.Cut(model, ":")
	return group, adapter
}

// Prompt returns the text of all messages, from which prefix cache blocks are hashed.
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
