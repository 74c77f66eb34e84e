package serviceproxy

import (
	"maps"
	"net/http"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// result is the reply to a once-only call: a refusal or an answer.
type result struct {
	refused  *refusal
	outcome  outcome.Outcome
	status   int
	header   http.Header
	body     []byte
	replayed bool // from the record
	pending  bool // the outcome is not recorded yet
}

// reply sends a result to the caller, if it is still there.
func (p *Proxy) reply(w http.ResponseWriter, c *call, r result) {
	if r.replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
	if r.pending {
		w.Header().Set(HeaderRecord, "pending")
	}
	if r.refused != nil {
		p.refuse(w, c, r.refused)
		return
	}
	p.metrics.end(c, r.outcome)
	if err := relayWhole(w, r.status, r.header, r.body, r.outcome); err != nil {
		p.log.Debug("answer not delivered", "request", c.id, "err", err)
	}
}

func sortedNames(h http.Header) []string { return slices.Sorted(maps.Keys(h)) }
