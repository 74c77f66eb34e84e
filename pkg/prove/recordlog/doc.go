// Package recordlog is a quorum of three replicas in one process whose state
// is the once-only records alone, for proofs and measures. Replicas can be
// killed, cut off and started again.
package recordlog
