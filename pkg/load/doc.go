// Package load generates open-loop load on gates and checks every answer.
//
// Arrivals are a seeded Poisson process and don't wait for answers. Latency is
// measured from the time at which a request was due, so that requests delayed by a
// slow system count in full (no coordinated omission). Model answers are checked by
// a Checker. Once-only calls are recorded in a ledger and checked against the
// executions that the services recorded.
package load
