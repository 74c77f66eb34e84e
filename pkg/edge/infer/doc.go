// Package infer defines the wire format of model requests, modelled on the OpenAI
// chat completions API. Callers and engines both use it.
//
// A gate always requests a stream from an engine. Each event of the stream carries
// an SSE id of the form "request.attempt/offset", where offset is the number of
// tokens before the event. The id matches an event to its request and attempt, and
// makes duplicates and gaps detectable. The answer is complete once an event with a
// finish reason and then the end marker have arrived. The body field resume_offset
// asks an engine to continue after that many tokens; the same version, adapter and
// seed produce the same tokens. POST CancelPath cancels an attempt from another
// connection.
package infer
