// Package recordlog runs a quorum of three replicas in one process, whose state is
// the once-only records alone, for tests and benchmarks. Replicas can be killed,
// isolated and restarted.
package recordlog
