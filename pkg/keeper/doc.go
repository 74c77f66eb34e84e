// Package keeper is the daemon that holds the replicated state. Every keeper
// answers reads of its own consensus state; the leader also grants leases to
// gates, publishes the view, collects what gates hear of upstreams, hands out
// orders, and takes operators' changes and once-only records.
package keeper
