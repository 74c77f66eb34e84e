// Package raft is a Raft consensus core, written as a pure state machine: messages,
// ticks and proposals go in by Step, Tick and Propose; what must be synced, sent and
// applied comes out by Ready. It has no sockets, files, goroutines, clock or global
// random source, and is driven by one goroutine.
//
// In each round the driver must:
//
//  1. call Ready and send Ready.EarlyMessages at once;
//  2. write and sync Ready.Identity, Ready.Snapshot, Ready.Entries and
//     Ready.HardState;
//  3. call Advance, send Ready.Messages, and apply what NextCommitted returns. No
//     other call may come between Ready and Advance.
//
// The core keeps the log behind the latest snapshot, and that snapshot's data, in
// memory. The membership changes by one replica at a time, and a change takes effect
// when its entry is appended to the log. A replica ID is never reused, and IDs
// increase.
//
// A replica without a leader campaigns by a pre-vote first. Of several that do so at the same time all but the
// best candidate withdraw, so that they do not split the votes.
//
// # Identity
//
// Each data directory has a random store ID. On its first start an initial member
// takes part only after every other initial member has durably recorded its store
// ID; for members that join later, the entry that promotes them records it. Messages
// from another store under the same replica ID are dropped. So a replica with an
// empty directory never votes under its old ID.
//
// After a restart a replica first announces the term and last index that it holds,
// in a hello message. It takes part once a leader or every voter has no evidence
// against it, or once a majority including itself has none and an election timeout
// has passed, in which any other reachable replica may object. The evidence is a
// Watermark: the highest term, and the highest index acknowledged in that term, that
// others have seen from it. A leader distributes the watermarks with its heartbeats.
// A single refusal stops the replica.
package raft
