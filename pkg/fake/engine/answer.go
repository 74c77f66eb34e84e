package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Answer is the deterministic text that stand-ins give to a prompt, so that a
// checker knows each caller's own whole answer.
type Answer struct {
	key    uint64
	length int
	finish string
}

const (
	shortestAnswer = 16 // tokens
	answerSpread   = 48 // tokens
)

// NewAnswer returns the answer for a version, adapter, prompt and seed. With
// maxTokens above 0 it has that length, else one derived from the prompt.
func NewAnswer(version, adapter, prompt string, seed int64, maxTokens int) Answer {
	key := xxhash.Sum64String(strings.Join([]string{version, adapter, prompt, strconv.FormatInt(seed, 10)}, "\x00"))
	if maxTokens > 0 {
		return Answer{key: key, length: maxTokens, finish: "length"}
	}
	return Answer{key: key, length: shortestAnswer + int(key%answerSpread), finish: "stop"}
}

// Len returns the number of tokens.
func (a Answer) Len() int { return a.length }

// FinishReason returns why the answer ends.
func (a Answer) FinishReason() string { return a.finish }

// Token returns the text of token i.
func (a Answer) Token(i int) string {
	mixed := (a.key + uint64(i)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return "w" + strconv.FormatUint(mixed>>44, 36) + " "
}

// Text returns the whole text.
func (a Answer) Text() string {
	var b strings.Builder
	for i := range a.length {
		b.WriteString(a.Token(i))
	}
	return b.String()
}
