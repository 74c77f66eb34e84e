// Package replica drives a raft core with a write-ahead log, snapshots and a
// transport, and applies committed commands to an Applier in log order.
package replica
