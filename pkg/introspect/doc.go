// Package introspect serves the observability endpoints of a process: its time line over
// JSON-RPC, and metrics, liveness and readiness over HTTP.
package introspect
