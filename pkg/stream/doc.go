// Package stream reads streamed answers and decides whether they are complete. Reader
// splits a response body into events and never returns a truncated one. Tracker matches
// events to the request and attempt, drops duplicate and late events, detects gaps, and
// tracks the offset of the answer forwarded so far, at which a broken stream can be
// resumed. Assembler turns a complete stream into a single completion.
package stream
