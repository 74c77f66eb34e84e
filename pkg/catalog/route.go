package catalog

import "time"

// Backend is one service of a route with its share of the requests.
type Backend struct {
	Service string
	Weight  int // relative to the other backends; 0 gets nothing
}

// Route tells how requests for a host and path prefix are served.
type Route struct {
	Name     string
	Host     string // compared without port, in lower case
	Prefix   string // begins and ends with a slash
	Kind     Kind
	Backends []Backend

	Timeout       time.Duration // longest time a request may be kept waiting
	Objective     time.Duration // latency objective: whole answer or first event
	PauseBound    time.Duration // longest pause between events that is on time; 0: none
	Priority      int           // 0 is the most urgent
	MaxAttempts   int           // upstreams one request may be sent to
	Public        bool          // needs no API key
	Resumable     bool          // a stream may go on elsewhere after an event
	CarriesModels bool          // requests name a model and their token counts
}

// Retryable tells whether a request may run on a second upstream after the
// first may have run it.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}
