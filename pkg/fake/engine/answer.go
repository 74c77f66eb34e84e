package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Answer is the deterministic answer of stand-in engines to a prompt, so that a
// checker can compute the complete answer that each caller must receive.
type Answer struct {
	key    uint64
	length int
	finish string
}

const (
	minAnswerTokens  = 16 // tokens
	answerTokenRange = 48 // tokens
)

// NewAnswer returns the answer for a version, adapter, prompt and seed. Its length
// is maxTokens if that is above 0, else it is derived from the other arguments.
func NewAnswer(version, adapter, prompt string, seed int64, maxTokens int) Answer {
	key := xxhash.Sum64String(strings.Join([]string{version, adapter, prompt, strconv.FormatInt(seed, 10)}, "\x00"))
	if maxTokens > 0 {
		return Answer{key: key, length: maxTokens, finish: "length"}
	}
	return Answer{key: key, length: minAnswerTokens + int(key%answerTokenRange), finish: "stop"}
}

// Len returns the number of tokens.
func (a Answer) Len() int { return a.length }

// FinishReason returns the reason for which the answer ends, "stop" or "length".
func (a Answer) FinishReason() string { return a.finish }

// Token returns the text of token i.
func (a Answer) Token(i int) string {
	mixed := (a.key + uint64(i)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return "w" + strconv.FormatUint(mixed>>44, 36) + " "
}

// Text returns the complete text.
func (a Answer) Text() string {
	var b strings.Builder
	for i := range a.length {
		b.WriteString(a.Token(i))
	}
	return b.String()
}
