// Package consensus measures the replicated log: group commit compared with one sync per entry,
// elections, restarts, and growth on disk.
package consensus
