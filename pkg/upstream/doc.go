// Package upstream sends HTTP/1.1 requests to upstreams and peers over
// connections of its own. Its contract:
//
//   - A request is written once, on one connection. Nothing is sent again and
//     no redirect is followed; the caller decides.
//   - Errors tell the phase: with ErrNotSent no byte of the request left.
//   - A connection belongs to one incarnation of the upstream: a fresh one, and
//     one that was idle for a while, asks the probe path first. A process that
//     took the place of another never gets a request meant for that one.
//   - BeforeSend runs right before the first byte is written, under Guard's
//     read lock, so that what takes rights away under the write lock comes
//     wholly before or after.
//   - A connection without byte progress for the stall time is given up with
//     ErrSilent; it blames the connection, not the upstream.
package upstream
