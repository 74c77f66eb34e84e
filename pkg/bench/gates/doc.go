// Package gates compares the decisions of gates with baselines. The policy measures run admission,
// routing, permits and the engine model in a discrete-event simulation: one virtual clock, no
// goroutines, fixed seeds. The overhead measures run a real proxy over loopback TCP.
package gates
