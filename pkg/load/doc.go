// Package load sends open-loop load to gates and checks every answer.
//
// Arrivals are a Poisson process from a seed and don't wait for answers. A
// latency counts from the moment at which the request was due, so that a slow
// system is not spared the requests that it holds up. Model answers are
// checked by a Checker; once-only calls are kept in a ledger and checked
// against the services' own record of executions.
package load
