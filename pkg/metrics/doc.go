// Package metrics turns what a keeper knows of the deployment into metrics.
// The deployment's figures come from the leader alone, so that summing over
// keepers counts each once.
package metrics
