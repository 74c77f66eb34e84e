package entry

import (
	"strconv"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/catalog"
)

// maxTokenCount bounds token counts where the memory of a group is not known.
const maxTokenCount = 1 << 24

// tokenCounts returns the tokens of a prompt and the most of its answer, as named by a client. Counts that
// are missing, negative or above what a group can hold are replaced by the means of the service: they
// would distort the load by which groups are formed and chosen.
func tokenCounts(e *catalog.Engine, field string) (prompt, answer int) {
	prompt, answer = e.MeanPromptTokens, e.MeanAnswerTokens
	first, second, found := strings.Cut(field, ",")
	if !found {
		return prompt, answer
	}
	if n, ok := tokenCount(e, first); ok {
		prompt = n
	}
	if n, ok := tokenCount(e, second); ok {
		answer = min(n, answer)
	}
	return prompt, answer
}

// namedAnswerTokens returns the most tokens of an answer that a client named. It returns false if it named
// none.
func namedAnswerTokens(e *catalog.Engine, field string) (int, bool) {
	_, second, found := strings.Cut(field, ",")
	if e == nil || !found {
		return 0, false
	}
	return tokenCount(e, second)
}

func tokenCount(e *catalog.Engine, text string) (int, bool) {
	most := e.KVTokens
	if most == 0 {
		most = maxTokenCount
	}
	n, err := strconv.Atoi(strings.TrimSpace(text))
	return n, err == nil && n >= 0 && n <= most
}
