// Package stream decides what makes an answer whole. Reader splits a body into
// events and never gives out one that was cut off. Tracker matches events to
// the request and attempt, drops duplicates and late ones, sees gaps, and
// knows how far the caller's answer has come, so that a broken stream can go
// on at its offset. Assembler turns a whole stream into one answer.
package stream
