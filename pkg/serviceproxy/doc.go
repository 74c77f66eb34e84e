// Package serviceproxy is a gate's reverse proxy for plain services. It serves
// /svc/<service>/<rest> on the callers' port.
//
// A call that the service object doesn't list as once-only is routed to a host of the
// service, and retried on another host if it is known not to have run or is idempotent.
// A once-only call requires an idempotency key from the caller and is processed in this
// order: record the intent, check the lease, send the call, record the outcome, reply. A
// resend is answered from the record. Every response carries the outcome.
package serviceproxy
