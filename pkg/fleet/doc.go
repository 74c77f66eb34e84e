// Package fleet keeps what is known of upstreams: one record for each
// incarnation that announced itself, ordered so that a late or repeated
// announcement never replaces a newer one. It has no clock and no sockets.
package fleet
