// Package replica runs a raft core with a write-ahead log, snapshots and a transport, and applies
// committed commands to an Applier in log order.
//
// A Node has three goroutines: one runs the core and the log, one applies commands, and one writes
// snapshots. Events that arrive during a sync of the log go into the next batch, so that one sync
// serves many proposals.
//
// A Node stops by itself when a write or sync fails, when its directory turns out to hold less
// than the replica has promised to others, or when the replica was removed from the cluster. Done
// and Err report this. The process must then exit too.
package replica
