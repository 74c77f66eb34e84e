// Package service is a small stand-in for a plain service, for tests and the
// demo. It stamps, bills and books each time that it is asked to, keeps a
// record of every execution, tells the outcome of a key, announces itself to
// gates, and fails to order.
//
//	POST /stamp, /bill, /book   run an action that must not be repeated
//	GET  /availability          may be repeated
//	GET  /outcome/<key>         ask.Reply
//	GET  /executions            all executions as JSON
//	GET  /v1/report             report.Report
//	PUT  /admin/fault           order a Fault, as JSON
package service
