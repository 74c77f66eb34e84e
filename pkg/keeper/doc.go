// Package keeper implements the daemon that holds the replicated state of the control plane. Every
// keeper serves its own consensus state. The leader also grants leases to gates, publishes the
// view, collects the gates' reports of upstreams, issues orders, and accepts operators' changes
// and once-only records.
package keeper
