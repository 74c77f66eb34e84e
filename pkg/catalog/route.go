package catalog

import "time"

// Backend is one service of a route with its weight in the distribution of
// requests.
type Backend struct {
	Service string
	Weight  int // relative to the other backends; 0: gets no requests
}

// Route defines how requests for a host and path prefix are served.
type Route struct {
	Name     string
	Host     string // lower case, without port
	Prefix   string // begins and ends with a slash
	Kind     Kind
	Backends []Backend

	Timeout       time.Duration // limit on the time that a request may wait for its answer
	Objective     time.Duration // latency objective for the whole response, or for the first event of a stream
	PauseBound    time.Duration // objective for the longest pause between events; 0: none
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // limit on the upstreams that one request is sent to
	Public        bool          // requires no API key
	Resumable     bool          // an interrupted stream may continue on another upstream after its last event
	CarriesModels bool          // requests carry a model name and token counts
}

// Retryable reports whether a request may be sent to a second upstream after the
// first one may have executed it.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}
