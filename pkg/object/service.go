package object

import "time"

// Call is one method and path prefix of a service.
type Call struct {
	Method string
	Path   string // prefix, starts with "/"
}

// Service is a plain service behind the system. Its hosts announce themselves under
// its name.
type Service struct {
	Name         string
	OnceOnly     []Call        // calls that must not be executed more than once
	KeyHeader    string        // request header with the caller's idempotency key
	OutcomePath  string        // GET path on the service that returns the outcome for a key; "" if there is none
	Timeout      time.Duration // of one call
	Retention    time.Duration // retention period of once-only records
	MaxRecords   int           // maximum number of once-only records
	MaxAnswer    int64         // maximum size of a recorded response in bytes; the content of larger ones is not kept
	MaxInFlight  int           // maximum requests in flight on a host after its ramp-up
	ColdInFlight int           // maximum requests in flight on a newly started host
	RampTime     time.Duration // minimum duration of the ramp-up
	ModelGroups  []string      // model groups that it calls; refer to ModelGroups
	Services     []string      // services that it calls; refer to Services; must not form a cycle
}
