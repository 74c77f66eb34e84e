package raft

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSafetyUnderFaults checks election safety, log matching, leader completeness,
// state machine safety and linearizable reads while messages are lost, repeated and
// reordered and replicas crash or are replaced.
func TestSafetyUnderFaults(t *testing.T) {
	commits, reads, changes := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"))
		t.Repeat(map[string]func(*rapid.T){
			"operate": func(t *rapid.T) {
				for range 60 {
					if err := s.operate(); err != nil {
						t.Fatal(err)
					}
				}
			},
			"quiet": func(t *rapid.T) {
				for range 40 {
					if err := s.deliver(false); err != nil {
						t.Fatal(err)
					}
					if err := s.check(); err != nil {
						t.Fatal(err)
					}
				}
			},
		})
		commits += s.commits
		reads += s.reads
		changes += s.changes
	})
	t.Logf("%d commits, %d reads, %d changes", commits, reads, changes)
	if commits < 1000 || reads < 50 || changes < 50 {
		t.Fatalf("the simulation did too little: %d commits, %d reads, %d changes", commits, reads, changes)
	}
}
