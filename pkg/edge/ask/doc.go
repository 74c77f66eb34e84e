// Package ask defines the wire format in which a plain service reports the outcome
// of the call with a given idempotency key: GET <outcome path>/<key> with the
// organisation in HeaderOrganisation and the attempt in question in HeaderAttempt,
// answered by a JSON Reply.
package ask
