// Package announce defines the wire format by which an upstream registers with
// any gate: POST /v1/announce with a JSON Announcement, repeated every Interval.
// An upstream that shuts down cleanly sends a last announcement with Leaving set.
package announce
