// Package fleet is the registry of upstreams. It holds one record for each
// announced incarnation and orders announcements, so that a late or repeated
// one never replaces a newer one. It has no clock and no sockets.
package fleet
