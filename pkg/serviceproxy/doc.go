// Package serviceproxy is a gate's way to plain services: it answers
// /svc/<service>/<rest> on the callers' port.
//
// A call that the service object doesn't list as once-only is routed to a host
// of the service, and again to another one where it is known not to have run
// or where repeating is harmless. A once-only call needs the caller's key and
// goes: intent recorded, lease checked, first byte, outcome recorded, reply.
// A resend is answered from the record. Every answer carries the outcome.
package serviceproxy
