// Package memnet is an in-memory network between replicas of one process, for tests and
// benchmarks. Links can be blocked in one direction, delayed, and made to lose, duplicate and
// reorder messages. Under testing/synctest it runs in virtual time.
package memnet
