// Package liveness decides which upstream hosts are up, from the announcements
// that gates receive. On the leader it accumulates what gates report between two
// observations that enter the replicated log, and reports only changes.
package liveness
