package ask

import (
	"net/url"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// HeaderOrganisation names the organisation of a request, to the service.
const HeaderOrganisation = "Sesame-Organisation"

// Reply is what a service knows of a key.
type Reply struct {
	Outcome outcome.Outcome `json:"outcome"`
	// Final goes with NotRun: the service will refuse the key from now on,
	// should the request still arrive. Without it NotRun settles nothing.
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
