// Package announce is the wire format by which an upstream makes itself known
// to any gate: POST /v1/announce with a JSON Announcement, repeated every
// Interval. An upstream that stops cleanly sends one with Leaving set.
package announce
