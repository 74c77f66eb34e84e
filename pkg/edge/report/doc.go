// Package report defines the wire format of GET /v1/report, by which an upstream
// reports what it runs and its load. Load figures lag behind the actual load, and
// cache events may arrive late and with gaps in their sequence.
package report
