// Package ask is the wire format by which a plain service tells how the
// request of a key ended: GET <outcome path>/<key> with the organisation in
// HeaderOrganisation and the attempt that is asked for in HeaderAttempt,
// answered by a JSON Reply.
package ask
