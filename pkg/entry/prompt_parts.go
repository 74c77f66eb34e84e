package entry

import (
	"slices"
	"strconv"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/suspect"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// maxPromptParts limits the parts of a prompt by which a request is known.
const maxPromptParts = 16

// readPromptParts returns the fingerprints of the first maxPromptParts different parts, without the
// last part. Malformed parts are ignored.
func readPromptParts(values []string) []view.Fingerprint {
	listed := strings.Split(strings.Join(values, ","), ",")
	parts := []view.Fingerprint{}
	for _, part := range listed[:len(listed)-1] {
		id, ok := partID(part)
		if !ok {
			continue
		}
		if f := suspect.PartFingerprint(id); !slices.Contains(parts, f) {
			parts = append(parts, f)
		}
		if len(parts) == maxPromptParts {
			break
		}
	}
	return parts
}

// partID returns the ID of a part that is written ID:TOKENS.
func partID(part string) (string, bool) {
	id, tokens, found := strings.Cut(strings.TrimSpace(part), ":")
	if _, err := strconv.ParseUint(tokens, 10, 64); err != nil || !found || id == "" {
		return "", false
	}
	id = strings.ToLower(id)
	return id, strings.Trim(id, "0123456789abcdef") == ""
}
