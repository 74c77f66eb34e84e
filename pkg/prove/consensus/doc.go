// Package consensus proves that what the keepers accepted is never lost or
// reverted. Replicas with memory disks run over a memory network in virtual
// time, while clients read and compare-and-set registers; faults strike at
// each step of a commit; the history must be linearizable.
package consensus
