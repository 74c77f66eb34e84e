// Package consensus measures the replicated log: commits with group commit
// against one sync per entry, elections, restarts, and growth on disk.
package consensus
