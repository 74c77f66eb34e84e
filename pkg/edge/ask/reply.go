package ask

import (
	"net/url"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// Headers of once-only calls and of outcome queries sent to a service.
const (
	HeaderOrganisation = "Sesame-Organisation"
	HeaderAttempt      = "Sesame-Request" // attempt ID, unique over all attempts of all keys
)

// Reply is a service's record of a key.
type Reply struct {
	Outcome outcome.Outcome `json:"outcome"`
	// Final accompanies NotRun: the service will refuse the queried attempt if it
	// still arrives. It does not affect other attempts of the key. NotRun without
	// Final is not conclusive, as the attempt may still be in transit.
	Final       bool   `json:"final,omitempty"`
	Status      int    `json:"status,omitempty"` // HTTP status of the answer, if the outcome is Ran
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Path returns the path of the outcome query for a key, decoded and URL-encoded.
func Path(outcomePath, key string) (path, raw string) {
	base := strings.TrimSuffix(outcomePath, "/")
	return base + "/" + key, base + "/" + url.PathEscape(key)
}
