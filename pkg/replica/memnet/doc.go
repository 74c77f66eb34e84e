// Package memnet carries messages between replicas of one process, for tests,
// proofs and measures. Links can be cut one way, slowed, and made to lose,
// repeat and reorder messages. Under testing/synctest it runs in virtual time.
package memnet
