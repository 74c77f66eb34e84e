// Package raft is a consensus core as a pure state machine: messages, ticks
// and proposals go in by Step, Tick and Propose; what must be synced, sent and
// applied comes out by Ready. It has no sockets, files, goroutines, clock or
// global random source.
package raft
