// Package report is the wire format of GET /v1/report on an upstream: what it
// runs and how loaded it is. Load figures lag behind; cache events come late
// and with gaps in their sequence.
package report
