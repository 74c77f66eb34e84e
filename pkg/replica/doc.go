// Package replica drives a raft core with a write-ahead log, snapshots and a
// transport, and applies committed commands to an Applier in log order.
//
// Goroutines: one runs the core and the log, one applies, one writes
// snapshots. All that arrives while the log syncs goes into the next batch, so
// that one sync serves many proposals.
//
// A Node ends by itself when a write or sync fails, when its folder turns out
// to be older than what it promised, or when it was removed; Done and Err tell.
// The process must then end too.
package replica
