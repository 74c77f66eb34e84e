// Package introspect serves what a process shows of itself: its time line by
// JSON-RPC; metrics, liveness and readiness by HTTP.
package introspect
