package control

// RelayedRequest tells an entry host about a client's request that another entry host, which can't
// reach upstreams, passes on to it.
type RelayedRequest struct {
	Process string `json:"process"` // the entry host that the client has connected to
	// DocumentVersion is the version of the document that admitted the request. An entry host that holds
	// an older one declines.
	DocumentVersion int64    `json:"version"`
	Service         string   `json:"service"`
	Executions      int      `json:"executions,omitempty"` // upstreams that may have run the request
	Tried           []string `json:"tried,omitempty"`      // IDs of upstreams that must not get it again
	Counted         bool     `json:"counted,omitempty"`    // the request has been added to the retry budget and the demand
}
