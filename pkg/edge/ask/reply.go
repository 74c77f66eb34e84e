package ask

import (
	"net/url"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// Headers towards the service, of once-only calls and of questions about them.
const (
	HeaderOrganisation = "Sesame-Organisation"
	HeaderAttempt      = "Sesame-Request" // unlike for any other attempt of any key
)

// Reply is what a service knows of a key.
type Reply struct {
	Outcome outcome.Outcome `json:"outcome"`
	// Final goes with NotRun: the service will refuse the attempt that it was
	// asked for, should it still arrive. Other attempts of the key are not
	// concerned. Without it NotRun settles nothing.
	Final       bool   `json:"final,omitempty"`
	Status      int    `json:"status,omitempty"` // of the answer, for Ran
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Path returns the path that tells of a key, decoded and as it is encoded.
func Path(outcomePath, key string) (path, raw string) {
	base := strings.TrimSuffix(outcomePath, "/")
	return base + "/" + key, base + "/" + url.PathEscape(key)
}
