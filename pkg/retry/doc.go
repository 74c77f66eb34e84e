// Package retry decides whether a failed attempt is tried again. Retries are
// at most a share of the live requests, so that they can't multiply an
// overload; they happen only where it is known that nothing ran or repeating
// is harmless; never past the deadline; never after two upstreams crashed.
package retry
