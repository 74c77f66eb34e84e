package serviceproxy

import (
	"maps"
	"net/http"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// result is the response to a once-only call: a refusal or an answer.
type result struct {
	refused       *refusal
	outcome       outcome.Outcome
	status        int
	header        http.Header
	body          []byte
	replayed      bool // answered from the record
	recordPending bool // the outcome is not recorded yet
}

// reply sends a result to the caller, if it is still connected.
func (p *Proxy) reply(w http.ResponseWriter, c *call, r result) {
	if r.replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
	if r.recordPending {
		w.Header().Set(HeaderRecord, "pending")
	}
	if r.refused != nil {
		p.refuse(w, c, r.refused)
		return
	}
	p.metrics.end(c, r.outcome)
	if err := relayBuffered(w, r.status, r.header, r.body, r.outcome); err != nil {
		p.log.Debug("failed to deliver answer to caller", "request", c.id, "err", err)
	}
}

func sortedNames(h http.Header) []string { return slices.Sorted(maps.Keys(h)) }
