// Package infer is the wire format of model requests, in the style of the
// OpenAI chat completions interface, towards callers and towards engines.
//
// Towards engines a gate always asks for a stream. Each event of the stream
// carries an SSE id of the form "request.attempt/offset", where offset counts
// the tokens before the event's own, so that an answer is matched to its
// request and attempt and a duplicate or a gap is seen. The answer is whole
// when an event with a finish reason and then the end marker have come. The
// body field resume_offset asks an engine to go on after that many tokens;
// the same version, adapter and seed give the same tokens. POST CancelPath
// ends an attempt from another connection.
package infer
