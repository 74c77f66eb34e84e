// Package service simulates a host of a plain service for tests and the demo. It
// executes an action on each call without deduplication, records every execution,
// reports the outcome of a key, announces itself to gates, and injects faults on
// request.
//
//	POST /stamp, /bill, /book   run an action that must not be repeated
//	GET  /availability          idempotent, may be repeated
//	GET  /outcome/<key>         ask.Reply
//	GET  /executions            all executions as JSON
//	GET  /v1/report             report.Report
//	PUT  /admin/fault           inject a Fault, as JSON
package service
