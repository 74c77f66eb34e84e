package object

import "time"

// Call is one method and path prefix of a service.
type Call struct {
	Method string
	Path   string // prefix, starts with "/"
}

// Service is a plain service behind the system. Its hosts announce themselves
// with its name.
type Service struct {
	Name         string
	OnceOnly     []Call        // calls that may not be repeated
	KeyHeader    string        // request header that carries the caller's key
	OutcomePath  string        // GET path on the service that tells a key's outcome; "" if it can't be asked
	Timeout      time.Duration // for one call
	Retention    time.Duration // how long once-only records are kept
	MaxRecords   int           // once-only records kept at most
	MaxAnswer    int64         // bytes of an answer that are recorded at most
	MaxInFlight  int           // requests in flight on a proven host
	ColdInFlight int           // requests in flight on a just-started host
	RampTime     time.Duration // least time from cold to proven
	ModelGroups  []string      // model groups that it calls; refer to ModelGroups
	Services     []string      // services that it calls; refer to Services; no chain of calls may return to its start
}
