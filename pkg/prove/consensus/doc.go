// Package consensus tests that what the keepers accepted is never lost or
// reverted. Replicas with in-memory disks run over an in-memory network in
// virtual time, while clients read and compare-and-set registers. Faults are
// injected at each step of a commit, and the history must be linearizable.
package consensus
