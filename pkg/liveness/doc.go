// Package liveness decides which upstream hosts are up, from what gates heard
// of them. It keeps the leader's account between two observations that enter
// the replicated log, and reports only what changed.
package liveness
