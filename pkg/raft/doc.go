// Package raft is a consensus core as a pure state machine: messages, ticks
// and proposals go in by Step, Tick and Propose; what must be synced, sent and
// applied comes out by Ready. It has no sockets, files, goroutines, clock or
// global random source, and is driven by one goroutine.
//
// The driver's contract for each round:
//
//  1. take Ready and send Ready.Early at once;
//  2. write and sync Ready.Identity, Ready.Snapshot, Ready.Entries and
//     Ready.HardState;
//  3. call Advance, send Ready.Messages, and hand on what NextCommitted
//     returns. No other call comes between Ready and Advance.
//
// The core holds the log behind the latest snapshot and that snapshot's data
// in memory. Membership changes one server at a time and takes effect when
// its entry enters the log. A replica ID is never used twice, and IDs grow.
//
// # Identity
//
// Each folder has a random store ID. A replica on its first start takes part
// only after every other initial member has recorded its store ID durably;
// members that come later have theirs recorded by the entry that promotes
// them. Messages from another store under the same replica ID are dropped.
// So a replica with an empty folder never votes under its old ID.
//
// A replica that starts again first says which term and last index it holds.
// It takes part once a leader or every voter has no evidence against it, or a
// majority (itself counted) after an election timeout, in which any other that
// can be reached may object. The evidence is a Mark: the highest term, and the highest index
// acknowledged in that term, that others have seen from it. A leader spreads
// the marks with its heartbeats. One refusal ends the replica.
package raft
